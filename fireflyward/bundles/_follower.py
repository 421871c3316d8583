"""Decides when a node polls for a newer bundle, and from where it fetches one.

Each node polls the head in the table service. A node at which a new number has
come into force announces it to a few others at once, and those fetch the change
from it. So one poll by any node is enough for all of them, and polling alone is
enough where no peer can be reached.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

HEAD_READS_PER_S = 60
MAX_POLL_MS = 4_000
MIN_READ_INTERVAL_MS = 200
ANNOUNCE_FANOUT = 5
FETCH_TIMEOUT_MS = 2_500
ANNOUNCE_PERIOD_MS = 2_000
_JITTER = 0.1
_FIRST_BACKOFF_MS = 250
_MAX_BACKOFF_MS = 2_000
_MS_PER_SECOND = 1_000


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head's row in the table service."""


@dataclass(frozen=True, slots=True)
class FetchFromStore:
    """Fetch the changes or the snapshot that lead to the head from the store."""


@dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Fetch the changes that lead to a peer's number from that peer."""

    peer: str
    number: int


@dataclass(frozen=True, slots=True)
class AnnounceNumber:
    """Send the number in force at this node to a peer."""

    peer: str
    number: int


Action = ReadHead | FetchFromStore | FetchFromPeer | AnnounceNumber


class BundleFollower:
    """Decides, without I/O, what a node reads, fetches and announces.

    Its inputs are the heads that were read and the numbers that peers announced; its
    outputs are actions. No input lowers ``number``: a lagging table replica, a lagging
    peer or a false number can cause a useless fetch, but never a return to an older
    number. The caller verifies what was fetched before it calls ``on_applied``.
    """

    __slots__ = (
        "_current_fetch",
        "_fetch_deadline_ms",
        "_last_read_ms",
        "_next_announce_ms",
        "_next_poll_ms",
        "_number_by_peer",
        "_poll_ms",
        "_random",
        "_refused_digest",
        "_refused_number",
        "_retry_at_ms",
        "_backoff_ms",
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
        self._next_poll_ms = 0
        self._next_announce_ms = 0
        self._last_read_ms: int | None = None
        self._current_fetch: FetchFromStore | FetchFromPeer | None = None
        self._fetch_deadline_ms = 0
        self._retry_at_ms = 0
        self._backoff_ms = _FIRST_BACKOFF_MS

    def __repr__(self) -> str:
        return f"BundleFollower(number={self.number}, head={self.head_number})"

    @property
    def target_number(self) -> int:
        """Return the highest number that the head has or a peer announced.

        A head whose bundle did not verify is ignored.
        """
        numbers = (self.number, *self._number_by_peer.values())
        if self.head_number > self._refused_number:
            numbers = (self.head_number, *numbers)
        return max(numbers)

    def poll_period_ms(self, nodes: int) -> float:
        """Return the time between two polls of one node among ``nodes``.

        All nodes together read the head at most ``HEAD_READS_PER_S`` times a
        second, unless each node would have to wait longer than ``MAX_POLL_MS``.
        """
        shared = nodes * _MS_PER_SECOND / HEAD_READS_PER_S
        return max(self._poll_ms, min(shared, MAX_POLL_MS))

    def on_tick(self, now_ms: int, peers: Sequence[str]) -> list[Action]:
        """Return the actions that are due; called several times a second."""
        actions: list[Action] = []
        if now_ms >= self._next_poll_ms:
            period_ms = self.poll_period_ms(len(peers) + 1)
            factor = 1 + self._random.uniform(-_JITTER, _JITTER)
            self._next_poll_ms = now_ms + int(period_ms * factor)
            actions += self._read_head(now_ms)
        if self._current_fetch and now_ms >= self._fetch_deadline_ms:
            actions += self.on_fetch_failed(now_ms)
        if now_ms >= self._next_announce_ms and peers:
            self._next_announce_ms = now_ms + ANNOUNCE_PERIOD_MS
            if self.number:
                actions.append(AnnounceNumber(self._random.choice(peers), self.number))
        return actions + self._start_fetch(now_ms)

    def on_head(self, now_ms: int, number: int, digest: str = "") -> list[Action]:
        """Record the head that was read; an older one does not lower any number."""
        if number >= self.number:
            self.confirmed_at_ms = now_ms
        if digest != self._refused_digest:
            self._refused_number = 0
        self.head_number = max(self.head_number, number)
        return self._start_fetch(now_ms)

    def on_head_refused(self, number: int, digest: str) -> None:
        """Record that the bundle of this head does not verify.

        The bundle is not fetched again; otherwise every node would fetch and reject the
        same bytes every two seconds. A head with another digest is fetched.
        """
        self._refused_number = number
        self._refused_digest = digest

    def on_peer_number(self, now_ms: int, peer: str, number: int) -> list[Action]:
        """Record a peer's number; announce the own number if the peer is behind."""
        if number < self.number:
            return [AnnounceNumber(peer, self.number)]
        self._number_by_peer[peer] = number
        return self._start_fetch(now_ms)

    def on_caller_number(self, now_ms: int, number: int) -> list[Action]:
        """Read the head at once: a caller was served by ``number`` at another node.

        However many callers send such a number, the table is read at most once in
        ``MIN_READ_INTERVAL_MS``.
        """
        if number <= self.number:
            return []
        return self._start_fetch(now_ms) or self._read_head(now_ms)

    def on_applied(
        self, now_ms: int, number: int, peers: Sequence[str]
    ) -> list[Action]:
        """Record that a verified number is in force here; announce it to some peers."""
        if number <= self.number:
            return []
        self.number = number
        self._current_fetch = None
        self._backoff_ms = _FIRST_BACKOFF_MS
        self._number_by_peer = {
            peer: peer_number
            for peer, peer_number in self._number_by_peer.items()
            if peer in peers
        }
        behind = [peer for peer in peers if self._number_by_peer.get(peer, 0) < number]
        chosen = self._random.sample(behind, min(ANNOUNCE_FANOUT, len(behind)))
        return [AnnounceNumber(peer, number) for peer in chosen] + self._start_fetch(
            now_ms
        )

    def on_fetch_failed(self, now_ms: int) -> list[Action]:
        """Handle a failed, rejected or late fetch: try a peer, or the store later."""
        failed, self._current_fetch = self._current_fetch, None
        if isinstance(failed, FetchFromPeer):
            self._number_by_peer.pop(failed.peer, None)
            return self._start_fetch(now_ms)
        self._retry_at_ms = now_ms + self._backoff_ms
        self._backoff_ms = min(_MAX_BACKOFF_MS, self._backoff_ms * 2)
        return []

    def _read_head(self, now_ms: int) -> list[Action]:
        last = self._last_read_ms
        if last is not None and now_ms - last < MIN_READ_INTERVAL_MS:
            return []
        self._last_read_ms = now_ms
        return [ReadHead()]

    def _start_fetch(self, now_ms: int) -> list[Action]:
        if self._current_fetch or self.target_number <= self.number:
            return []
        action = self._choose_source()
        if isinstance(action, FetchFromStore) and now_ms < self._retry_at_ms:
            return []
        self._current_fetch = action
        self._fetch_deadline_ms = now_ms + FETCH_TIMEOUT_MS
        return [action]

    def _choose_source(self) -> FetchFromStore | FetchFromPeer:
        """Choose a peer that has the target number, or the store if none has it.

        Only the few nodes that first read a new number from the table fetch it from
        the object store; the others fetch it from the peer that announced it.
        """
        holders = [
            peer
            for peer, number in self._number_by_peer.items()
            if number == self.target_number
        ]
        if not holders:
            return FetchFromStore()
        return FetchFromPeer(self._random.choice(holders), self.target_number)
