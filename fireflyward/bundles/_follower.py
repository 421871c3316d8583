"""How a node learns that there is a newer bundle, and whom it asks for it.

Each node polls the head in the table service, and tells a few others at once
when it has taken a new number; those ask the teller for the change. So one poll
anywhere is enough, and polling alone is enough where no peer can be reached.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

HEAD_READS_PER_SECOND = 60
MOST_POLL_MS = 4_000
LEAST_READ_GAP_MS = 200
FANOUT = 5
FETCH_LIMIT_MS = 2_500
REMIND_MS = 2_000
_JITTER = 0.1
_FIRST_RETRY_MS = 250
_MOST_RETRY_MS = 2_000
_MS_PER_SECOND = 1_000


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head's row in the table service."""


@dataclass(frozen=True, slots=True)
class FetchFromStore:
    """Fetch what leads to the head from the object store."""


@dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Ask a peer for what leads to the number that it told of."""

    peer: str
    number: int


@dataclass(frozen=True, slots=True)
class AnnounceNumber:
    """Send our number to a peer."""

    peer: str
    number: int


Action = ReadHead | FetchFromStore | FetchFromPeer | AnnounceNumber


class BundleFollower:
    """Decides without I/O: readings and news go in, actions come out.

    Nothing that it is told lowers ``number``: a lagging table replica, a lagging
    peer or a peer that lies can make it ask in vain, never step back. What it
    fetches is verified before ``on_applied`` is called.
    """

    __slots__ = (
        "_due_ms",
        "_fetch_ends_ms",
        "_fetching",
        "_last_read_ms",
        "_number_by_peer",
        "_poll_ms",
        "_random",
        "_refused_digest",
        "_refused_number",
        "_remind_ms",
        "_retry_at_ms",
        "_retry_ms",
        "confirmed_at_ms",
        "head_number",
        "number",
    )

    def __init__(self, *, poll_ms: int, seed: int | None = None) -> None:
        self.number = 0
        self.head_number = 0
        self.confirmed_at_ms: int | None = None
        self._poll_ms = poll_ms
        self._random = random.Random(seed)
        self._number_by_peer: dict[str, int] = {}
        self._refused_number = 0
        self._refused_digest = ""
        self._due_ms = 0
        self._remind_ms = 0
        self._last_read_ms: int | None = None
        self._fetching: FetchFromStore | FetchFromPeer | None = None
        self._fetch_ends_ms = 0
        self._retry_at_ms = 0
        self._retry_ms = _FIRST_RETRY_MS

    def __repr__(self) -> str:
        return f"BundleFollower(number={self.number}, head={self.head_number})"

    @property
    def target_number(self) -> int:
        """Return the highest number that anyone has told of."""
        numbers = (self.number, *self._number_by_peer.values())
        if self.head_number > self._refused_number:
            numbers = (self.head_number, *numbers)
        return max(numbers)

    def poll_period_ms(self, nodes: int) -> float:
        """Return the time between two polls of one node among ``nodes``.

        All nodes together read the head at most ``HEAD_READS_PER_SECOND`` times a
        second until that would make each wait longer than ``MOST_POLL_MS``.
        """
        shared = nodes * _MS_PER_SECOND / HEAD_READS_PER_SECOND
        return max(self._poll_ms, min(shared, MOST_POLL_MS))

    def on_tick(self, now_ms: int, peers: Sequence[str]) -> list[Action]:
        """Do what has fallen due; called several times a second."""
        actions: list[Action] = []
        if now_ms >= self._due_ms:
            period_ms = self.poll_period_ms(len(peers) + 1)
            factor = 1 + self._random.uniform(-_JITTER, _JITTER)
            self._due_ms = now_ms + int(period_ms * factor)
            actions += self._read(now_ms)
        if self._fetching and now_ms >= self._fetch_ends_ms:
            actions += self.on_fetch_failed(now_ms)
        if now_ms >= self._remind_ms and peers:
            self._remind_ms = now_ms + REMIND_MS
            if self.number:
                actions.append(AnnounceNumber(self._random.choice(peers), self.number))
        return actions + self._fetch(now_ms)

    def on_head(self, now_ms: int, number: int, digest: str = "") -> list[Action]:
        """Take note of the head; a lagging replica's older one changes nothing."""
        if number >= self.number:
            self.confirmed_at_ms = now_ms
        if digest != self._refused_digest:
            self._refused_number = 0
        self.head_number = max(self.head_number, number)
        return self._fetch(now_ms)

    def on_head_refused(self, number: int, digest: str) -> None:
        """What the head names does not verify: do not ask for it again.

        Symptom without this: every node fetches and refuses the same bytes every
        two seconds. A head with another digest is tried.
        """
        self._refused_number = number
        self._refused_digest = digest

    def on_peer_number(self, now_ms: int, peer: str, number: int) -> list[Action]:
        """Take note of what a peer serves by; tell it if it is behind."""
        if number < self.number:
            return [AnnounceNumber(peer, self.number)]
        self._number_by_peer[peer] = number
        return self._fetch(now_ms)

    def on_caller_number(self, now_ms: int, number: int) -> list[Action]:
        """A caller has seen ``number`` elsewhere: look for it at once.

        However many callers ask, the table is read at most once in
        ``LEAST_READ_GAP_MS``.
        """
        if number <= self.number:
            return []
        return self._fetch(now_ms) or self._read(now_ms)

    def on_applied(
        self, now_ms: int, number: int, peers: Sequence[str]
    ) -> list[Action]:
        """A verified number is in force here: tell some who may not know."""
        if number <= self.number:
            return []
        self.number = number
        self._fetching = None
        self._retry_ms = _FIRST_RETRY_MS
        self._number_by_peer = {
            peer: known for peer, known in self._number_by_peer.items() if peer in peers
        }
        unaware = [peer for peer in peers if self._number_by_peer.get(peer, 0) < number]
        chosen = self._random.sample(unaware, min(FANOUT, len(unaware)))
        return [AnnounceNumber(peer, number) for peer in chosen] + self._fetch(now_ms)

    def on_fetch_failed(self, now_ms: int) -> list[Action]:
        """A fetch failed, was refused or took too long: try elsewhere, later."""
        failed, self._fetching = self._fetching, None
        if isinstance(failed, FetchFromPeer):
            self._number_by_peer.pop(failed.peer, None)
            return self._fetch(now_ms)
        self._retry_at_ms = now_ms + self._retry_ms
        self._retry_ms = min(_MOST_RETRY_MS, self._retry_ms * 2)
        return []

    def _read(self, now_ms: int) -> list[Action]:
        last = self._last_read_ms
        if last is not None and now_ms - last < LEAST_READ_GAP_MS:
            return []
        self._last_read_ms = now_ms
        return [ReadHead()]

    def _fetch(self, now_ms: int) -> list[Action]:
        if self._fetching or self.target_number <= self.number:
            return []
        action = self._source()
        if isinstance(action, FetchFromStore) and now_ms < self._retry_at_ms:
            return []
        self._fetching = action
        self._fetch_ends_ms = now_ms + FETCH_LIMIT_MS
        return [action]

    def _source(self) -> FetchFromStore | FetchFromPeer:
        """Choose a peer that has what is wanted, or the store if none has.

        The object store is asked by the few nodes that learn of a number from
        the table first; everyone else takes the change from whoever told of it.
        """
        holders = [
            peer
            for peer, number in self._number_by_peer.items()
            if number == self.target_number
        ]
        if not holders:
            return FetchFromStore()
        return FetchFromPeer(self._random.choice(holders), self.target_number)
