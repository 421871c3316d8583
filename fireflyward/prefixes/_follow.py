"""The task that follows the events of one KV store."""

import asyncio
import enum
import logging
from collections.abc import Callable
from typing import Protocol

from fireflyward.clock import Clock, within_ms

from ._index import KvUpdate, StoreIndex

log = logging.getLogger("fireflyward.prefixes")

# The store answers a call for events when the wait time of the call ends, or earlier.
# A call that takes longer than its wait time plus this limit has failed.
_CALL_OVERHEAD_LIMIT_MS = 700
_RETRY_PAUSE_MS = 500
_WAIT_MS = 1_000
# The pause between an aggregator's calls to one store. An aggregator follows every
# store for its failure domain: with twenty stores it makes some 130 calls a second,
# each of which costs 0.3 ms.
_AGGREGATOR_PAUSE_MS = 150
# A listener (a node that follows a store through its aggregator) makes a call of its
# own after this long without an update of the store. Calls with a wait time below
# 200 ms are charged as probes.
_AGGREGATOR_TIMEOUT_MS = 1_600
_LISTENER_WAIT_MS = 250
# A call to the aggregator and its answer, with one lost packet. The complete list of a
# store has some 150 KB.
AGGREGATOR_CALL_LIMIT_MS = 600
# A node that runs receives an update, or finds that the store does not answer, within
# this time after its last update.
_VALID_MS = (
    _AGGREGATOR_TIMEOUT_MS
    + AGGREGATOR_CALL_LIMIT_MS
    + _LISTENER_WAIT_MS
    + _CALL_OVERHEAD_LIMIT_MS
)
# After a store has restarted, nodes save nothing to it until every node has detected
# the restart. The aggregator detects it by its own call. A listener that misses the
# aggregator's update calls the aggregator after its timeout, and the store if that call
# fails.
_SAVE_BLOCK_MS = (
    _WAIT_MS
    + _CALL_OVERHEAD_LIMIT_MS
    + _AGGREGATOR_TIMEOUT_MS
    + AGGREGATOR_CALL_LIMIT_MS
    + _LISTENER_WAIT_MS
    + _CALL_OVERHEAD_LIMIT_MS
)


class FollowMode(enum.Enum):
    """How a node receives the events of a store."""

    INDEPENDENT = "by itself"
    AS_AGGREGATOR = "for others"
    FROM_AGGREGATOR = "from the aggregator"


class KvReader(Protocol):
    """The calls that a follower makes to a store; None means that it did not answer."""

    async def kv_events(
        self, address: str, *, since: int, wait_ms: int, limit_ms: float
    ) -> KvUpdate | None: ...

    async def kv_list(self, address: str, *, limit_ms: float) -> KvUpdate | None: ...


class StoreFollower:
    """Keeps one ``StoreIndex`` up to date.

    In a small cluster each node makes long calls that wait at the store for events. A
    store lets only about a dozen callers wait, so in a large cluster only the
    aggregators make such calls, and publish what they read to the other nodes. A
    listener that receives no update, or detects a gap, makes one call through its
    reader, which forwards it to the aggregator (``SharedStoreReader``).
    """

    def __init__(
        self,
        index: StoreIndex,
        *,
        reader: KvReader,
        clock: Clock,
        mode: Callable[[], FollowMode],
        on_read: Callable[[str, KvUpdate], None] = lambda address, update: None,
        lost_ms: Callable[[int], int] = lambda since_ms: 0,
    ) -> None:
        """``lost_ms`` returns for how long this process did not run since a time."""
        self._lost_ms = lost_ms
        self._index = index
        self._reader = reader
        self._clock = clock
        self._mode = mode
        self._on_read = on_read
        self._gap_detected = asyncio.Event()
        self._last_update_ms = -_AGGREGATOR_TIMEOUT_MS

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            mode = self._mode()
            if mode is FollowMode.FROM_AGGREGATOR and not self._must_make_call():
                await within_ms(
                    self._clock, _AGGREGATOR_TIMEOUT_MS, self._gap_detected.wait()
                )
                continue
            pause_ms = _AGGREGATOR_PAUSE_MS if mode is FollowMode.AS_AGGREGATOR else 0
            if not await self.step():
                pause_ms = _RETRY_PAUSE_MS
                if mode is FollowMode.FROM_AGGREGATOR:
                    # The aggregator publishes its first update of the store as soon as
                    # the store answers. Calls in the meantime would be in vain.
                    await within_ms(
                        self._clock, _AGGREGATOR_TIMEOUT_MS, self._gap_detected.wait()
                    )
                    continue
            if pause_ms:
                await self._clock.sleep_ms(pause_ms)

    async def step(self) -> bool:
        """Make one call; return whether the store answered."""
        index = self._index
        self._gap_detected.clear()
        sent_ms = self._clock.now_ms()
        waits_long = self._mode() is not FollowMode.FROM_AGGREGATOR
        update = await self._reader.kv_events(
            index.address,
            since=index.next_event,
            wait_ms=_WAIT_MS if waits_long else _LISTENER_WAIT_MS,
            limit_ms=_CALL_OVERHEAD_LIMIT_MS,
        )
        if update is None:
            return self._on_unreachable()
        if update.epoch != index.epoch:
            self._begin_epoch(update.epoch)
            if update.since != 0:
                return True
        if not index.apply(update):
            snapshot = await self._reader.kv_list(
                index.address, limit_ms=_CALL_OVERHEAD_LIMIT_MS
            )
            if snapshot is None:
                return self._on_unreachable()
            update = index.difference(snapshot)
            index.apply(snapshot)
        self._on_read(index.address, update)
        self._last_update_ms = self._clock.now_ms()
        # The answer may have waited for as long as this process did not run.
        answered_ms = max(sent_ms, self._last_update_ms - self._lost_ms(sent_ms))
        index.valid_until_ms = answered_ms + _VALID_MS
        return True

    def on_update(self, update: KvUpdate, *, has_waited: bool = False) -> None:
        """Apply an aggregator's update, if it continues this node's own state.

        One that has waited to be read does not show that the store has not restarted.
        """
        index = self._index
        if update.epoch != index.epoch and update.since == 0:
            self._begin_epoch(update.epoch)
        if update.epoch != index.epoch or update.since > index.next_event:
            self._gap_detected.set()
            return
        self._last_update_ms = self._clock.now_ms()
        if not has_waited:
            index.valid_until_ms = self._last_update_ms + _VALID_MS
        if index.next_event < update.next_event:
            # The update may begin with events that this node already has. Applying them
            # again is harmless, because the update also contains all later ones.
            index.apply(update)

    def _must_make_call(self) -> bool:
        since_update_ms = self._clock.now_ms() - self._last_update_ms
        return self._gap_detected.is_set() or since_update_ms >= _AGGREGATOR_TIMEOUT_MS

    def _begin_epoch(self, epoch: int) -> None:
        """Start over with a new epoch of the store, at whose beginning it was empty.

        A node that has just started cannot know whether the other nodes have already
        detected this epoch.
        """
        if self._index.epoch is not None:
            log.info("prefixes: store %s restarted and is empty", self._index.address)
        self._index.restart(
            epoch, no_saves_until_ms=self._clock.now_ms() + _SAVE_BLOCK_MS
        )

    def _on_unreachable(self) -> bool:
        if self._index.is_up:
            log.warning("prefixes: store %s does not answer", self._index.address)
        self._index.on_unreachable()
        return False
