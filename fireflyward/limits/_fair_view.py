"""What the totals of a short service say about its accounts and groups."""

import math

from ._fair_share import fair_shares
from ._group_sums import NO_SUM, WINDOW_MS, GroupKey, GroupKind, GroupSum
from ._peer_sums import Total

SIZE_GROUPS = 3
MAX_PRIORITY = 9

# The rule has its full effect when this share of the arrivals is late or rejected, and
# proportionally less below it, so that it doesn't switch on and off.
_FULL_PRESSURE = 0.05
# Smaller sums are too uncertain for a decision on a whole service or a group.
_MIN_SERVICE_ARRIVALS = 20.0
_MIN_GROUP_ARRIVALS = 8.0
_MIN_LATE = 2.0
# A difference of 5 percentage points between groups is a fault: there the factor is
# 0.4, and it is 0 from eight. One point is noise.
_GAP_SLACK = 0.01
_GAP_GAIN = 15.0
# A quarter of the service's share is a fault for an account or a route, so at half of
# it they don't yield any more.
_PROTECTED_RATIO = 0.5
_SHARE_SLACK = 1.05
_SHARE_GAIN = 2.0
# Each caller retries once. Beyond this ratio of retries to first arrivals, retries are
# excessive and count as use of the account's share.
_MAX_RETRY_RATIO = 1.5


class FairView:
    """Judges the accounts and groups of one service by one total; no I/O.

    Each ``*_factor`` is 1 for a group that needn't yield and less for one that does.
    """

    __slots__ = ("_ratio_by_account", "_sums", "age_ms", "pressure")

    def __init__(self, total: Total) -> None:
        self._sums = total.sums
        self.age_ms = total.age_ms
        self.pressure = self._pressure()
        self._ratio_by_account = self._account_ratios() if self.pressure else {}

    @property
    def position_ms(self) -> float:
        """Return how long the callers take that were rejected and didn't return yet."""
        service = self._sum(GroupKind.SERVICE)
        waiting = max(0.0, service.rejected - service.returned)
        return waiting * WINDOW_MS / max(1.0, service.admitted)

    @property
    def served_share(self) -> float:
        """Return the share of all callers of the service that were admitted."""
        return self._sum(GroupKind.SERVICE).served_share

    def account_ratio(self, account: int) -> float:
        """Return an account's use relative to its fair share, 0 if it isn't known."""
        return self._ratio_by_account.get(account, 0.0)

    def retries_excessively(self, account: int) -> bool:
        """Return whether an account's callers retry more than is usual."""
        return _excess(self._sum(GroupKind.ACCOUNT, account)) > 0

    def account_factor(self, account: int) -> float:
        ratio = self.account_ratio(account)
        if ratio <= _SHARE_SLACK or self.protects_account(account):
            return 1.0
        return self._scaled(_SHARE_GAIN * (1.0 - 1.0 / ratio))

    def priority_factor(self, priority: int) -> float:
        """Return less than 1 if a more urgent group is served less often."""
        own = self._sum(GroupKind.PRIORITY, priority)
        more_urgent = [self._sum(GroupKind.PRIORITY, x) for x in range(priority)]
        return self._gap_factor(own, more_urgent)

    def size_factor(self, size_keys: list[int], size_group: int) -> float:
        """Return less than 1 if a group of larger prompts is served less often."""
        groups = [self._sum(GroupKind.SIZE, key) for key in size_keys]
        return self._gap_factor(groups[size_group], groups[size_group + 1 :])

    def protects_account(self, account: int) -> bool:
        """Return whether an account is served much less often than the service."""
        own = self._sum(GroupKind.ACCOUNT, account)
        return self._is_served_too_little(own, self._sum(GroupKind.COST).served_share)

    def protects_route(self, size_keys: list[int], size_group: int) -> bool:
        """Return whether a route or its size group is served much less often."""
        route = NO_SUM
        for key in size_keys:
            route = route.plus(self._sum(GroupKind.SIZE, key))
        if self._is_served_too_little(route, self.served_share):
            return True
        group = self._sum(GroupKind.SIZE, size_keys[size_group])
        return self._is_served_too_little(group, route.served_share)

    def _is_served_too_little(self, own: GroupSum, usual_share: float) -> bool:
        if own.arrived < _MIN_GROUP_ARRIVALS:
            return False
        return own.served_share < _PROTECTED_RATIO * usual_share

    def _gap_factor(self, own: GroupSum, preferred: list[GroupSum]) -> float:
        if own.arrived < _MIN_GROUP_ARRIVALS:
            return 1.0
        shares = [x.served_share for x in preferred if x.arrived >= _MIN_GROUP_ARRIVALS]
        gap = own.served_share - min(shares, default=1.0) - _GAP_SLACK
        return self._scaled(_GAP_GAIN * gap)

    def _scaled(self, reduction: float) -> float:
        """Return the factor for a reduction, scaled by the pressure."""
        reduction = min(1.0, max(0.0, reduction))
        return 1.0 - reduction * min(1.0, self.pressure / _FULL_PRESSURE)

    def _pressure(self) -> float:
        service = self._sum(GroupKind.SERVICE)
        arrivals = service.arrived + service.returned
        late = self._sum(GroupKind.LATE).arrived
        if arrivals < _MIN_SERVICE_ARRIVALS or late < _MIN_LATE:
            return 0.0
        return min(1.0, late / arrivals)

    def _account_ratios(self) -> dict[int, float]:
        """Return each listed account's use relative to its fair share.

        The accounts that aren't listed are smaller than each listed one. They take
        part in the division as as many accounts of the smallest listed size.
        """
        listed = {
            key[1]: item
            for key, item in self._sums.items()
            if key[0] is GroupKind.ACCOUNT
        }
        if len(listed) < 2:
            return {}
        demands: dict[int | None, float] = {
            name: max(item.arrived, item.admitted) for name, item in listed.items()
        }
        weights: dict[int | None, float] = {
            name: item.weight for name, item in listed.items()
        }
        cost = self._sum(GroupKind.COST)
        rest = max(0.0, cost.arrived - sum(item.arrived for item in listed.values()))
        if rest > 0:
            demands[None] = rest
            weights[None] = math.ceil(rest / max(1.0, min(demands.values())))
        shares = fair_shares(cost.admitted, demands, weights)
        return {
            name: (item.admitted + max(0.0, _excess(item))) / max(1.0, shares[name])
            for name, item in listed.items()
        }

    def _sum(self, kind: GroupKind, name: int = 0) -> GroupSum:
        key: GroupKey = (kind, name)
        return self._sums.get(key, NO_SUM)


def _excess(account: GroupSum) -> float:
    """Return the excessive retries.

    Each retry follows a rejection. Callers that only have a shorter deadline than the
    others of their route seem to return, too, but were not rejected.
    """
    retries = min(account.returned, account.rejected)
    return retries - _MAX_RETRY_RATIO * account.arrived
