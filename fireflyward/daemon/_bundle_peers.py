"""The other nodes, as the duty for bundles knows and calls them."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

from fireflyward.bundles import (
    BundleError,
    NodeObservation,
    SignedBundle,
    Whole,
    decode_changes,
    fetch_all_pages,
)
from fireflyward.bundles.messages import (
    CHANGES_KIND,
    NEWS_KIND,
    STATE_KIND,
    WHOLE_KIND,
    BundleNews,
    ChangesReply,
    ChangesRequest,
    StateReply,
    StateRequest,
    WholeReply,
)
from fireflyward.membership import Member, Members, MemberState
from fireflyward.peers import Address, PeerLink

_CALLS_AT_ONCE = 64
_REACHED = (MemberState.LIVE, MemberState.LEAVING)


class BundlePeers:
    """Addresses of the other nodes, and the calls that concern bundles.

    The members that membership keeps go first. Until it knows any, the nodes of
    the settings are asked, and those that sent news are remembered.
    """

    __slots__ = ("_asked_first", "_heard_by_name", "_link", "_members")

    def __init__(
        self, link: PeerLink, members: Members, asked_first: Iterable[Address]
    ) -> None:
        self._link = link
        self._members = members
        self._asked_first = tuple(asked_first)
        self._heard_by_name: dict[str, Address] = {}

    def __repr__(self) -> str:
        return f"BundlePeers({len(self.addresses())})"

    def addresses(self) -> dict[str, Address]:
        """Return the address of each other node by name."""
        own = self._link.node_name
        live = {
            member.name: member.address
            for member in self._members.all_live()
            if member.name != own
        }
        if live:
            self._heard_by_name.clear()
            return live
        named = dict(self._heard_by_name)
        known = {self._link.address, *named.values()}
        for host, port in self._asked_first:
            if (host, port) not in known:
                named[f"{host}:{port}"] = (host, port)
        return named

    def heard(self, name: str, address: Address) -> None:
        """Remember where news came from."""
        if name != self._link.node_name:
            self._heard_by_name[name] = address

    def seen(self) -> list[NodeObservation]:
        """Return what membership knows of the other nodes."""
        own = self._link.node_name
        return [
            _seen_member(member)
            for member in self._members.known()
            if member.name != own
        ]

    def tell(self, name: str, number: int) -> None:
        """Send our number to a node, if it is known where that is."""
        address = self.addresses().get(name)
        if address:
            host, port = self._link.address
            news = BundleNews(number=number, host=host, port=port)
            self._link.send(address, NEWS_KIND, news)

    async def changes(
        self, name: str, after: int
    ) -> tuple[SignedBundle, ...] | BundleError | None:
        """Ask a node for the changes after a number; None without an answer."""
        address = self.addresses().get(name)
        if address is None:
            return None
        request = ChangesRequest(after=after)
        reply = await self._link.call(address, CHANGES_KIND, request, ChangesReply)
        if not isinstance(reply, ChangesReply):
            return None
        return decode_changes(reply) or None

    async def whole(self, name: str) -> Whole | BundleError | None:
        """Ask a node for everything; None without an answer."""
        address = self.addresses().get(name)
        if address is None:
            return None

        async def ask(request: Any) -> Any:
            return await self._link.call(address, WHOLE_KIND, request, WholeReply)

        return await fetch_all_pages(ask)

    async def states(self) -> dict[str, Any]:
        """Ask every node for its state; what did not answer has ``CallFailed``."""
        addresses: Mapping[str, Address] = self.addresses()
        request = StateRequest(asker=self._link.node_name)
        at_once = asyncio.Semaphore(_CALLS_AT_ONCE)

        async def ask(address: Address) -> Any:
            async with at_once:
                return await self._link.call(address, STATE_KIND, request, StateReply)

        replies = await asyncio.gather(*map(ask, addresses.values()))
        for address, reply in zip(addresses.values(), replies, strict=True):
            if isinstance(reply, StateReply):
                self.heard(reply.node_name, address)
        return dict(zip(addresses, replies, strict=True))


def seen_state(reply: Any) -> NodeObservation:
    """Return what a node's own answer tells of it."""
    return NodeObservation(
        reply.node_name,
        reply.failure_domain,
        reply.number,
        is_reached=True,
        refused=reply.refused,
    )


def _seen_member(member: Member) -> NodeObservation:
    return NodeObservation(
        member.name,
        member.failure_domain,
        member.bundle_number,
        is_reached=member.state in _REACHED,
        is_leaving=member.state is MemberState.LEAVING,
    )
