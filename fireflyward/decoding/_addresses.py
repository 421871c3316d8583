"""Addresses on the platform's network, which knows IPv4 addresses and no names."""

import re
from typing import Annotated

import msgspec

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IP = rf"({_OCTET}\.){{3}}{_OCTET}"
_PORT = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    r"|[1-9][0-9]{0,3})"
)
# No host has an address of these: this network, multicast and broadcast.
_NOT_A_HOST = r"(0\.|22[4-9]\.|23[0-9]\.|255\.255\.255\.255:)"

_is_ipv4 = re.compile(_IP).fullmatch
# The port of a node's link to the others.
PeerPort = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
IPv4 = Annotated[str, msgspec.Meta(pattern=rf"\A{_IP}\Z")]
# Port 0 has the kernel choose one.
ListenAddress = Annotated[str, msgspec.Meta(pattern=rf"\A{_IP}:(0|{_PORT})\Z")]
_HOST_AND_PORT = rf"(?!{_NOT_A_HOST}){_IP}:{_PORT}"
ReplicaAddress = Annotated[str, msgspec.Meta(pattern=rf"\A{_HOST_AND_PORT}\Z")]
OptionalAddress = Annotated[str, msgspec.Meta(pattern=rf"\A({_HOST_AND_PORT})?\Z")]


def is_ipv4(text: str) -> bool:
    """Return whether a text is an IPv4 address.

    >>> is_ipv4("10.2.64.17"), is_ipv4("entry-1.example"), is_ipv4("1")
    (True, False, False)
    """
    return _is_ipv4(text) is not None
