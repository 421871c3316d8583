"""Limits of one node on the requests that it holds at once."""

from fireflyward.outcomes import NotRun, Reason

_RETRY_AFTER_MS = 1_000


class Admission:
    """Counts requests in flight by client account."""

    __slots__ = ("_in_flight_by_account",)

    def __init__(self) -> None:
        self._in_flight_by_account: dict[str, int] = {}

    def enter(self, account: str, limit: int) -> NotRun | None:
        """Count a request in, or say why it is refused."""
        in_flight = self._in_flight_by_account.get(account, 0)
        if in_flight >= limit:
            detail = f"account {account} has {in_flight} requests in flight"
            return NotRun(Reason.OVER_LIMIT, detail, _RETRY_AFTER_MS)
        self._in_flight_by_account[account] = in_flight + 1
        return None

    def leave(self, account: str) -> None:
        """Count a request out."""
        left = self._in_flight_by_account[account] - 1
        if left:
            self._in_flight_by_account[account] = left
        else:
            del self._in_flight_by_account[account]

    def total(self) -> int:
        """Return the number of requests in flight at this node."""
        return sum(self._in_flight_by_account.values())
