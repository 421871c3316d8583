"""Outages of the store in which entries of replicas may have expired."""

# An entry expires after three intervals without a renewal, so an entry that expired
# while the store was unavailable has missed the renewals of two intervals before.
_MISSED_RENEWALS = 2
# A single call that fails, with the wait of the call before it, takes up to two.
_MISSED_RENEWALS_IN_ONE_CALL = 3
# Replicas write their expired entries again within this time after the store is
# available again, as the platform specifies.
_RETURN_MS = 2_000
# For the node's own poll interval.
_READ_MARGIN_MS = 300


class StoreOutages:
    """Tells whether a missing entry may only have expired in an outage; no I/O.

    A node cannot tell a failed read of its own from an outage of the store by the
    failure. But the store may have been unavailable only between two calls of this node
    that it accepted, and no entry expires in a shorter time than two renewals take. A
    replica that is removed after a shorter failure has therefore left.

    Two outages count as one if a replica may not have renewed its entry between them.
    A single failed call is not counted, unless it takes as long as an entry takes to
    expire: calls of a node fail now and then, and in an outage the next call fails too.

    >>> outages = StoreOutages(heartbeat_ms=1_200)
    >>> outages.on_answer(10_000, unavailable_ms=1_300, failed_calls=1)
    >>> outages.keep_until_ms(10_000) is None
    True
    >>> outages.on_answer(20_000, unavailable_ms=3_000, failed_calls=4)
    >>> outages.keep_until_ms(21_900), outages.keep_until_ms(22_000)
    (22300, None)
    """

    __slots__ = ("_began_ms", "_ended_ms", "_heartbeat_ms", "_may_have_expired")

    def __init__(self, *, heartbeat_ms: int) -> None:
        """``heartbeat_ms`` is the interval at which replicas renew their entries."""
        self._heartbeat_ms = heartbeat_ms
        self._began_ms = 0
        self._ended_ms: int | None = None
        self._may_have_expired = False

    def on_answer(self, now_ms: int, *, unavailable_ms: int, failed_calls: int) -> None:
        """Record an answer, and for how long the store accepted no calls before it."""
        least_ms = _MISSED_RENEWALS * self._heartbeat_ms
        renewals = 1 if failed_calls > 1 else _MISSED_RENEWALS_IN_ONE_CALL
        if not failed_calls or unavailable_ms < renewals * self._heartbeat_ms:
            return
        began_ms = now_ms - unavailable_ms
        if self._ended_ms is None or began_ms - self._ended_ms >= self._heartbeat_ms:
            self._began_ms = began_ms
        self._ended_ms = now_ms
        self._may_have_expired = now_ms - self._began_ms >= least_ms

    def on_restored(self, now_ms: int) -> None:
        """Record that the store was restored from an older snapshot."""
        self._began_ms = self._ended_ms = now_ms
        self._may_have_expired = True

    def keep_until_ms(self, now_ms: int) -> int | None:
        """Return until when a replica stays that is missing now, None if it has left.

        The time counts from the end of the outage: a replica that has not returned by
        then is gone, whenever this node reads that its entry is missing.
        """
        if not self._may_have_expired or now_ms - self._ended_ms >= _RETURN_MS:
            return None
        return self._ended_ms + _RETURN_MS + _READ_MARGIN_MS
