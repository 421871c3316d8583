"""Tells from a replica's reports whether an order has to be repeated."""

from fireflyward.platform import ReplicaReport

# A report that is requested this long after an order shows its effect: reports are
# some hundred ms old, and an order is carried out when it arrives or seconds late.
_SETTLED_AFTER_MS = 800


class OrderProgress:
    """The progress of one order, or of a load that was found; no I/O.

    An order without response may have been lost, or be carried out late. The replica
    carries it out only if it has accepted no other order meanwhile, so a repetition
    with the same count is safe: one of the two is rejected.

    >>> progress = OrderProgress(sent_ms=0, orders_seen=3, has_response=False)
    >>> report = ReplicaReport(False, 3, 0, 0, {"m": 1})
    >>> [progress.has_failed(asked_ms, report) for asked_ms in (799, 800)]
    [False, True]
    """

    __slots__ = ("_has_response", "_orders_seen", "_sent_ms", "_was_loading")

    def __init__(
        self,
        *,
        sent_ms: int,
        orders_seen: int,
        has_response: bool,
        was_loading: bool = False,
    ) -> None:
        self._sent_ms = sent_ms
        self._orders_seen = orders_seen
        self._has_response = has_response
        self._was_loading = was_loading

    def first_poll_ms(self, now_ms: int, usual_ms: float) -> float:
        """Return how long to wait before the first poll."""
        if self._has_response:
            return usual_ms
        return max(0, self._sent_ms + _SETTLED_AFTER_MS - now_ms)

    def has_failed(self, asked_ms: int, report: ReplicaReport) -> bool:
        """Return whether the replica does not load and has no load ahead.

        ``report`` was requested at ``asked_ms`` and does not have the ordered weights.
        After an accepted order, a report that is older than the load looks the same,
        except for the count of orders.
        """
        if report.is_loading:
            self._was_loading = True
            return False
        if not self._has_response and asked_ms >= self._sent_ms + _SETTLED_AFTER_MS:
            return True
        return self._was_loading or report.orders > self._orders_seen
