"""Anti-entropy: nodes compare digests and send the rows that gossip missed."""

import random
from dataclasses import replace

from ._domain_watch import DomainWatch, digests
from ._gossip import chunks
from ._members import Address, Member, MemberState
from ._messages import Packet, PacketKind, Send
from ._probing import Timings
from ._roster import Roster

_ROWS_LIMIT_BYTES = 1_000
_SYNC_DATAGRAMS = 4
_SEEDS_PER_SYNC = 3
_REMOTE_SHARE = 0.2
_LOST_MEMBER_SHARE = 0.15
_ROWS_BURST = 8.0
_ROWS_PER_SECOND = 0.5
_STARTUP_ROWS_PER_SECOND = 4.0
_STARTUP_MS = 60_000


class Sync:
    """Periodically sends digests to one node, which answers with differing rows.

    Every datagram may be lost and gossip sends a row only a bounded number of times,
    so some nodes miss some rows; the comparison finds them within a few periods. It
    is also how a new node finds all others, and how two halves of a failure domain
    that declared each other dead find each other again: now and then the digests go
    to a member that counts as dead, or to a seed.
    """

    __slots__ = (
        "_domain_watch",
        "_last_due_ms",
        "_next_ms",
        "_random",
        "_roster",
        "_row_tokens",
        "_seeds",
        "_started_ms",
        "_timings",
    )

    def __init__(
        self,
        now_ms: int,
        *,
        roster: Roster,
        domain_watch: DomainWatch,
        timings: Timings,
        rng: random.Random,
    ) -> None:
        self._roster = roster
        self._domain_watch = domain_watch
        self._timings = timings
        self._random = rng
        self._seeds: tuple[Address, ...] = ()
        self._next_ms = now_ms
        self._last_due_ms = now_ms
        self._started_ms = now_ms
        self._row_tokens = _ROWS_BURST

    def set_seeds(self, addresses: tuple[Address, ...]) -> None:
        """Replace the seed addresses, at which other nodes may run."""
        own = self._roster.own.address
        self._seeds = tuple(address for address in addresses if address != own)

    def due(self, now_ms: int) -> list[Send]:
        """Return the sync requests to send now."""
        is_starting = now_ms - self._started_ms < _STARTUP_MS
        per_second = _STARTUP_ROWS_PER_SECOND if is_starting else _ROWS_PER_SECOND
        refill = (now_ms - self._last_due_ms) * per_second / 1_000
        self._row_tokens = min(_ROWS_BURST, self._row_tokens + refill)
        self._last_due_ms = now_ms
        if now_ms < self._next_ms:
            return []
        self._roster.forget_dead(now_ms)
        joined = bool(self._roster.near() or self._roster.far())
        period_ms = self._timings.sync_period_ms
        if not joined:
            period_ms = self._timings.join_period_ms
        self._next_ms = now_ms + int(period_ms * self._random.uniform(0.8, 1.2))
        packet = Packet(
            PacketKind.SYNC,
            self._roster.own,
            ages=self._domain_watch.ages(now_ms),
            digests=digests(self._roster.members.stored_all()),
        )
        return [Send(address, packet) for address in self._targets(joined)]

    def on_new_members(self) -> None:
        """Send the next request soon, since a message named unknown members."""
        soon_ms = self._last_due_ms + self._timings.join_period_ms
        self._next_ms = min(self._next_ms, soon_ms)

    def answer(self, packet: Packet) -> list[Send]:
        """Return the rows of the failure domains whose digests differ.

        The datagrams with rows that a node sends are limited over time: otherwise,
        after a change to all members, every node would send all rows to every other
        at once. The limit is higher in the first minute after a start, since then the
        whole domain may be starting.
        """
        sender = packet.sender
        digest_by_domain = {item.failure_domain: item.digest for item in packet.digests}
        own_digests = digests(self._roster.members.stored_all())
        if digest_by_domain.keys() - {item.failure_domain for item in own_digests}:
            self.on_new_members()
        differing = [
            item.failure_domain
            for item in own_digests
            if digest_by_domain.get(item.failure_domain) != item.digest
        ]
        self._random.shuffle(differing)
        differing.sort(key=lambda name: name != sender.failure_domain)
        groups: list[tuple[Member, ...]] = []
        for name in differing:
            groups += chunks(self._rows_of(name, sender), _ROWS_LIMIT_BYTES)
        is_new_node = len(packet.digests) <= 1
        return [
            Send(sender.address, Packet(PacketKind.ROWS, self._roster.own, rows=group))
            for index, group in enumerate(groups[:_SYNC_DATAGRAMS])
            if self._consume_row_token() or (is_new_node and index == 0)
        ]

    def _consume_row_token(self) -> bool:
        if self._row_tokens < 1:
            return False
        self._row_tokens -= 1
        return True

    def _targets(self, joined: bool) -> list[Address]:
        if not joined:
            count = min(_SEEDS_PER_SYNC, len(self._seeds))
            return self._random.sample(self._seeds, count)
        near = self._roster.near()
        far = self._roster.far()
        draw = self._random.random()
        lost = self._possibly_live() if draw < _LOST_MEMBER_SHARE else []
        if lost:
            return [self._random.choice(lost)]
        if far and (not near or draw > 1 - _REMOTE_SHARE):
            return [self._random.choice(far).address]
        return [self._random.choice(near).address] if near else []

    def _possibly_live(self) -> list[Address]:
        """Return dead members' addresses, and seeds at which no member is known."""
        stored = self._roster.members.stored_all()
        not_dead = {
            member.address for member in stored if member.state is not MemberState.DEAD
        }
        dead = [member.address for member in stored if member.state is MemberState.DEAD]
        return dead + [seed for seed in self._seeds if seed not in not_dead]

    def _rows_of(self, failure_domain: str, requester: Member) -> list[Member]:
        rows = [
            member
            for member in self._roster.members.stored_all()
            if member.failure_domain == failure_domain
        ]
        if requester.failure_domain != self._roster.own.failure_domain:
            rows = [
                replace(row, state=MemberState.LIVE)
                if row.state is MemberState.SUSPECTED
                else row
                for row in rows
            ]
        self._random.shuffle(rows)
        return rows
