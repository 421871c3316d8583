"""Decoding of bytes from other writers into bounded types, without exceptions."""

from ._addresses import (
    IPv4,
    ListenAddress,
    OptionalAddress,
    PeerPort,
    ReplicaAddress,
    is_ipv4,
)
from ._json import DECODE_ERRORS, decode_json
from ._numbers import (
    MAX_INT32,
    MAX_INT64,
    BoundedNumber,
    Count,
    Int32Count,
    Int64,
    NonNegativeNumber,
    Port,
    SmallNumber,
    decimal,
    long_number,
    to_int,
    whole_number,
)
from ._texts import HeaderText, Name, is_header_text, is_utf8

__all__ = [
    "DECODE_ERRORS",
    "MAX_INT32",
    "MAX_INT64",
    "BoundedNumber",
    "Count",
    "HeaderText",
    "IPv4",
    "Int32Count",
    "Int64",
    "ListenAddress",
    "Name",
    "NonNegativeNumber",
    "OptionalAddress",
    "PeerPort",
    "Port",
    "ReplicaAddress",
    "SmallNumber",
    "decimal",
    "decode_json",
    "is_header_text",
    "is_ipv4",
    "is_utf8",
    "long_number",
    "to_int",
    "whole_number",
]
