"""Translates between the clock of a store and that of this node."""

from dataclasses import dataclass

_MAX_AGE_MS = 60_000


@dataclass(frozen=True, slots=True)
class StoreTime:
    """A reading of a store's clock, made between two moments of this node's clock.

    Both clocks run at the same speed. The translations return the earliest time that is
    possible, so that nothing seems newer than it is.

    >>> reading = StoreTime(store_ms=50_000, sent_ms=1_000, received_ms=1_010)
    >>> reading.to_store_ms(910), reading.to_local_ms(49_900)
    (49900, 900)
    """

    store_ms: int
    sent_ms: int
    received_ms: int

    def to_store_ms(self, local_ms: int) -> int:
        """Return the store's time at a moment of this node's clock, or earlier."""
        return self.store_ms - (self.received_ms - local_ms)

    def to_local_ms(self, store_ms: int) -> int:
        """Return this node's time at a moment of the store's clock, or earlier."""
        return self.sent_ms - (self.store_ms - store_ms)

    def is_better_than(self, other: "StoreTime | None") -> bool:
        """Return whether to use this reading in place of an earlier one."""
        if other is None or self.received_ms - other.received_ms > _MAX_AGE_MS:
            return True
        return self._uncertainty_ms <= other._uncertainty_ms

    @property
    def _uncertainty_ms(self) -> int:
        return self.received_ms - self.sent_ms


def stored_ms(time: StoreTime | None, local_ms: int) -> int:
    """Return the store's time for a row, at a moment of this node's clock or earlier.

    It is 0, which stands for unknown, if the store's clock was not read yet.

    >>> stored_ms(StoreTime(50_000, 1_000, 1_010), 910), stored_ms(None, 910)
    (49900, 0)
    """
    return 0 if time is None else max(0, time.to_store_ms(local_ms))


def read_ms(time: StoreTime | None, store_ms: int) -> int | None:
    """Return this node's time for the store's time in a row, or an earlier time.

    It is None if the row has none, or one that is later than the reading: the store's
    clock was read before the row was written, or has begun anew since.

    >>> reading = StoreTime(50_000, 1_000, 1_010)
    >>> [read_ms(reading, store_ms) for store_ms in (49_900, 0, 50_001)]
    [900, None, None]
    """
    if time is None or not 0 < store_ms <= time.store_ms:
        return None
    return time.to_local_ms(store_ms)
