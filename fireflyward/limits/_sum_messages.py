"""Encodes sums of a service for other nodes, and checks those that arrive."""

from typing import Any

from ._group_sums import GroupKey, GroupKind, GroupSum, SumByGroup
from ._limits_structs import FairnessSums

# An entry takes up to 28 bytes, and a datagram has room for 1,400.
_MAX_ENTRIES = 40
_MAX_ACCOUNTS = 16
# Among 19,000 accounts nearly each request of a node is of another one. Only the large
# accounts matter, and these have several.
MAX_REPORTED_ACCOUNTS = 8
_TENTHS = 10
_HUNDREDTHS = 100
_MAX_NUMBER = 2**31 - 1
_KIND_BY_NUMBER = {int(kind): kind for kind in GroupKind}


def encode_sums(
    service: int, sums: SumByGroup, *, max_accounts: int = _MAX_ACCOUNTS
) -> Any:
    """Return the message for the sums of a service.

    The largest accounts and groups are included; all others count in the sum of the
    service.
    """
    items = _largest(sums, max_accounts)
    message = FairnessSums(
        service_id=service,
        kinds=[int(key[0]) for key, _ in items],
        names=[key[1] for key, _ in items],
        arrived=[_to_number(item.arrived) for _, item in items],
        admitted=[_to_number(item.admitted) for _, item in items],
        rejected=[_to_number(item.rejected) for _, item in items],
        returned=[_to_number(item.returned) for _, item in items],
    )
    if any(item.weight != 1.0 for _, item in items):
        message.weights = [
            max(1, _to_number(item.weight, _HUNDREDTHS)) for _, item in items
        ]
    return message


def decode_sums(message: Any) -> dict[GroupKey, GroupSum] | None:
    """Return the sums in a message, None if it is malformed."""
    count = len(message.kinds)
    weights = message.weights or [_HUNDREDTHS] * count
    columns = (message.arrived, message.admitted, message.rejected, message.returned)
    if any(len(column) != count for column in (message.names, weights, *columns)):
        return None
    if any(min(column, default=0) < 0 for column in columns):
        return None
    if min(weights, default=1) < 1 or any(
        kind not in _KIND_BY_NUMBER for kind in message.kinds
    ):
        return None
    scaled = [[number / _TENTHS for number in column] for column in columns]
    items = map(GroupSum, *scaled, [weight / _HUNDREDTHS for weight in weights])
    kinds = [_KIND_BY_NUMBER[kind] for kind in message.kinds]
    return dict(zip(zip(kinds, message.names, strict=True), items, strict=True))


def _largest(sums: SumByGroup, max_accounts: int) -> list[tuple[GroupKey, GroupSum]]:
    def size(item: tuple[GroupKey, GroupSum]) -> float:
        return item[1].arrived + item[1].returned

    accounts = [item for item in sums.items() if item[0][0] is GroupKind.ACCOUNT]
    accounts.sort(key=size, reverse=True)
    # Groups come first in the order of their kinds: without the sum of the service
    # none of the others can be judged.
    groups = [item for item in sums.items() if item[0][0] is not GroupKind.ACCOUNT]
    groups.sort(key=lambda item: (item[0][0], -size(item)))
    accounts = accounts[:max_accounts]
    return [*groups[: _MAX_ENTRIES - len(accounts)], *accounts]


def _to_number(value: float, scale: int = _TENTHS) -> int:
    return min(_MAX_NUMBER, max(0, round(value * scale)))
