"""Repair of what news did not reach: nodes compare digests and send rows."""

import random
from dataclasses import replace

from ._domains import DomainWatch, digests
from ._members import Address, Member, MemberState
from ._messages import Packet, PacketKind, Send
from ._news import chunks
from ._probing import Timings
from ._roster import Roster

_ROWS_BYTES = 1_000
_SYNC_DATAGRAMS = 4
_SEEDS_ASKED = 3
_REMOTE_SHARE = 0.2
_LOST_SHARE = 0.15
_BURST = 8.0
_ROWS_PER_SECOND = 0.5
_YOUNG_ROWS_PER_SECOND = 4.0
_YOUNG_MS = 60_000


class Sync:
    """Asks one node now and then for what it knows otherwise.

    Every datagram may be lost and every piece of news is told only a bounded
    number of times, so some node misses some; the comparison finds it within a
    few periods. It is also how a new node learns everybody, and how two halves
    of a failure domain that had declared each other dead meet again: now and then
    the node asked is one that counts as dead, or a seed.
    """

    __slots__ = (
        "_domains",
        "_next_ms",
        "_now_ms",
        "_random",
        "_roster",
        "_seeds",
        "_started_ms",
        "_timings",
        "_tokens",
    )

    def __init__(
        self,
        now_ms: int,
        *,
        roster: Roster,
        domains: DomainWatch,
        timings: Timings,
        rng: random.Random,
    ) -> None:
        self._roster = roster
        self._domains = domains
        self._timings = timings
        self._random = rng
        self._seeds: tuple[Address, ...] = ()
        self._next_ms = now_ms
        self._now_ms = now_ms
        self._started_ms = now_ms
        self._tokens = _BURST

    def set_seeds(self, addresses: tuple[Address, ...]) -> None:
        """Take the addresses where nodes may be."""
        own = self._roster.own.address
        self._seeds = tuple(address for address in addresses if address != own)

    def due(self, now_ms: int) -> list[Send]:
        """Return the questions to ask now."""
        is_young = now_ms - self._started_ms < _YOUNG_MS
        per_second = _YOUNG_ROWS_PER_SECOND if is_young else _ROWS_PER_SECOND
        refill = (now_ms - self._now_ms) * per_second / 1_000
        self._tokens = min(_BURST, self._tokens + refill)
        self._now_ms = now_ms
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
            ages=self._domains.ages(now_ms),
            digests=digests(self._roster.members.stored_all()),
        )
        return [Send(address, packet) for address in self._targets(joined)]

    def on_learned(self) -> None:
        """Ask again soon: the last answer named members that were unknown."""
        soon_ms = self._now_ms + self._timings.join_period_ms
        self._next_ms = min(self._next_ms, soon_ms)

    def answer(self, packet: Packet) -> list[Send]:
        """Return rows of the failure domains in which the two know unlike things.

        The rows that a node sends are bounded over time: otherwise a change that
        touches everybody would be told by everybody to everybody at once. In its
        first minute a node sends more, since then its whole domain may be starting.
        """
        sender = packet.sender
        digest_by_domain = {item.failure_domain: item.digest for item in packet.digests}
        ours = digests(self._roster.members.stored_all())
        if digest_by_domain.keys() - {item.failure_domain for item in ours}:
            self.on_learned()
        unlike = [
            item.failure_domain
            for item in ours
            if digest_by_domain.get(item.failure_domain) != item.digest
        ]
        self._random.shuffle(unlike)
        unlike.sort(key=lambda name: name != sender.failure_domain)
        groups: list[tuple[Member, ...]] = []
        for name in unlike:
            groups += chunks(self._rows_of(name, sender), _ROWS_BYTES)
        is_new = len(packet.digests) <= 1
        return [
            Send(sender.address, Packet(PacketKind.ROWS, self._roster.own, rows=group))
            for index, group in enumerate(groups[:_SYNC_DATAGRAMS])
            if self._take_token() or (is_new and index == 0)
        ]

    def _take_token(self) -> bool:
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _targets(self, joined: bool) -> list[Address]:
        if not joined:
            count = min(_SEEDS_ASKED, len(self._seeds))
            return self._random.sample(self._seeds, count)
        near = self._roster.near()
        far = self._roster.far()
        draw = self._random.random()
        lost = self._lost() if draw < _LOST_SHARE else []
        if lost:
            return [self._random.choice(lost)]
        if far and (not near or draw > 1 - _REMOTE_SHARE):
            return [self._random.choice(far).address]
        return [self._random.choice(near).address] if near else []

    def _lost(self) -> list[Address]:
        """Return where somebody may be of whom this node believes otherwise."""
        stored = self._roster.members.stored_all()
        found = {
            member.address for member in stored if member.state is not MemberState.DEAD
        }
        dead = [member.address for member in stored if member.state is MemberState.DEAD]
        return dead + [seed for seed in self._seeds if seed not in found]

    def _rows_of(self, failure_domain: str, asker: Member) -> list[Member]:
        rows = [
            member
            for member in self._roster.members.stored_all()
            if member.failure_domain == failure_domain
        ]
        if asker.failure_domain != self._roster.own.failure_domain:
            rows = [
                replace(row, state=MemberState.LIVE)
                if row.state is MemberState.SUSPECTED
                else row
                for row in rows
            ]
        self._random.shuffle(rows)
        return rows
