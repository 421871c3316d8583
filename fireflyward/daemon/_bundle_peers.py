"""The addresses of the other nodes, and the calls to them that concern bundles."""

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
    ANNOUNCEMENT_KIND,
    CHANGES_KIND,
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

_MAX_CONCURRENT_CALLS = 64
_REACHABLE_STATES = (MemberState.LIVE, MemberState.LEAVING)


class BundlePeers:
    """Holds the addresses of the other nodes and calls them for bundles.

    The addresses come from the node's membership. Until the membership contains another
    live node, this class uses the seeds from the settings and the addresses of nodes
    that sent a message.
    """

    __slots__ = ("_seeds", "_sender_address_by_name", "_link", "_members")

    def __init__(
        self, link: PeerLink, members: Members, seeds: Iterable[Address]
    ) -> None:
        self._link = link
        self._members = members
        self._seeds = tuple(seeds)
        self._sender_address_by_name: dict[str, Address] = {}

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
            self._sender_address_by_name.clear()
            return live
        address_by_name = dict(self._sender_address_by_name)
        known_addresses = {self._link.address, *address_by_name.values()}
        for host, port in self._seeds:
            if (host, port) not in known_addresses:
                address_by_name[f"{host}:{port}"] = (host, port)
        return address_by_name

    def record_sender(self, name: str, address: Address) -> None:
        """Record the address of a node that sent a message."""
        if name != self._link.node_name:
            self._sender_address_by_name[name] = address

    def observations(self) -> list[NodeObservation]:
        """Return the state of each other node according to the membership."""
        own = self._link.node_name
        return [
            _observation_of_member(member)
            for member in self._members.known()
            if member.name != own
        ]

    def announce_number(self, name: str, number: int) -> None:
        """Send this node's bundle number to a node, if its address is known."""
        address = self.addresses().get(name)
        if address:
            host, port = self._link.address
            announcement = BundleNews(number=number, host=host, port=port)
            self._link.send(address, ANNOUNCEMENT_KIND, announcement)

    async def fetch_changes(
        self, name: str, after: int
    ) -> tuple[SignedBundle, ...] | BundleError | None:
        """Fetch the changes after a number from a node.

        Return None if the node does not answer.
        """
        address = self.addresses().get(name)
        if address is None:
            return None
        request = ChangesRequest(after=after)
        reply = await self._link.call(address, CHANGES_KIND, request, ChangesReply)
        if not isinstance(reply, ChangesReply):
            return None
        return decode_changes(reply) or None

    async def fetch_snapshot(self, name: str) -> Whole | BundleError | None:
        """Fetch the full state from a node; return None if it does not answer."""
        address = self.addresses().get(name)
        if address is None:
            return None

        async def fetch_page(request: Any) -> Any:
            return await self._link.call(address, WHOLE_KIND, request, WholeReply)

        return await fetch_all_pages(fetch_page)

    async def fetch_states(self) -> dict[str, Any]:
        """Request the state of every node.

        Return the reply of each node by name: ``CallFailed`` if it did not answer.
        """
        addresses: Mapping[str, Address] = self.addresses()
        request = StateRequest(asker=self._link.node_name)
        call_slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)

        async def request_state(address: Address) -> Any:
            async with call_slots:
                return await self._link.call(address, STATE_KIND, request, StateReply)

        replies = await asyncio.gather(*map(request_state, addresses.values()))
        for address, reply in zip(addresses.values(), replies, strict=True):
            if isinstance(reply, StateReply):
                self.record_sender(reply.node_name, address)
        return dict(zip(addresses, replies, strict=True))


def observation_of_state(reply: Any) -> NodeObservation:
    """Return the observation that a node's own state reply contains."""
    return NodeObservation(
        reply.node_name,
        reply.failure_domain,
        reply.number,
        is_reached=True,
        refused=reply.refused,
    )


def _observation_of_member(member: Member) -> NodeObservation:
    return NodeObservation(
        member.name,
        member.failure_domain,
        member.bundle_number,
        is_reached=member.state in _REACHABLE_STATES,
        is_leaving=member.state is MemberState.LEAVING,
    )
