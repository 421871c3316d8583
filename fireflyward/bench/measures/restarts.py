"""Measures the share of keys that move when nodes restart, among 35 nodes."""

import random
from collections.abc import Callable, Sequence

from fireflyward.bench import Bench, Figure
from fireflyward.membership import Member, SteadyMembers, owner_of

_NODES = 35
_DOMAINS = 10
_KEYS = [f"key-{index}" for index in range(300)]
_RESTARTS_PER_DAY = 110
_REPLACEMENTS_PER_DAY = 14
_RESTART_MS = 8_000
_REPLACEMENT_MS = 300_000
_GRACE_MS = 30_000
_DAY_MS = 86_400_000
_MEMBERS = [
    Member(f"entry-{index}", ("127.0.0.1", index), "d", "r", 1)
    for index in range(_NODES)
]
Assign = Callable[[str, Sequence[Member]], Member | None]


def _measure() -> list[Figure]:
    single = _moved([(0, 0), (_RESTART_MS, None)], owner_of, _live_members)
    events = _day_events()
    return [
        Figure("restarts.one.moved_of_ideal", single / (2 / _NODES), "×"),
        Figure("restarts.one.moved", single, "of keys"),
        Figure(
            "restarts.day.moved", _moved(events, owner_of, _live_members), "of keys"
        ),
        Figure(
            "restarts.day.moved_with_grace",
            _moved(events, owner_of, _members_with_grace()),
            "of keys",
        ),
        Figure(
            "restarts.day.moved_by_modulo",
            _moved(events, _owner_by_modulo, _live_members),
            "of keys",
        ),
    ]


def _owner_by_modulo(key: str, members: Sequence[Member]) -> Member:
    return members[sum(key.encode()) * 2_654_435_761 % len(members)]


def _live_members(now_ms: int, live: list[Member]) -> Sequence[Member]:
    return live


def _members_with_grace() -> Callable[[int, list[Member]], Sequence[Member]]:
    steady = SteadyMembers(grace_ms=_GRACE_MS)
    steady.update(0, _MEMBERS)

    def members(now_ms: int, live: list[Member]) -> Sequence[Member]:
        return sorted(steady.update(now_ms, live), key=lambda member: member.name)

    return members


def _day_events() -> list[tuple[int, int | None]]:
    """Return times, each with the node that is down then; None if all nodes are up."""
    rng = random.Random(1)
    events: list[tuple[int, int | None]] = []
    kinds = [_RESTART_MS] * (_RESTARTS_PER_DAY // _DOMAINS)
    kinds += [_REPLACEMENT_MS] * (_REPLACEMENTS_PER_DAY // _DOMAINS)
    slot_ms = _DAY_MS // len(kinds)
    for index, outage_ms in enumerate(rng.sample(kinds, len(kinds))):
        node = rng.randrange(_NODES)
        at_ms = index * slot_ms
        events += [
            (at_ms, node),
            (at_ms + outage_ms - 1, node),
            (at_ms + outage_ms, None),
        ]
    return events


def _moved(
    events: list[tuple[int, int | None]],
    assign: Assign,
    members_at: Callable[[int, list[Member]], Sequence[Member]],
) -> float:
    """Return the moves of keys over all events, divided by the number of keys."""
    moved = 0
    live_before = _MEMBERS
    before = {key: assign(key, _MEMBERS) for key in _KEYS}
    for at_ms, stopped in events:
        live = [item for index, item in enumerate(_MEMBERS) if index != stopped]
        # ``SteadyMembers`` must see live nodes until they stop, not only at events:
        # the grace time counts from the last update with the node.
        members_at(at_ms - 1, live_before)
        live_before = live
        members = members_at(at_ms, live)
        after = {key: assign(key, members) for key in _KEYS}
        moved += sum(after[key] is not before[key] for key in _KEYS)
        before = after
    return moved / len(_KEYS)


BENCH = Bench("restarts", _measure, is_count=True)
