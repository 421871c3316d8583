"""Measures a node's share of the index and the share that moves when nodes stop."""

from fireflyward.bench import Bench, Figure
from fireflyward.kept import ALL_SHARDS, holders_of
from fireflyward.membership import Member

_DOMAIN_NODES = 35
_LOST_NODES = 17
_HOLDERS_PER_SHARD = 2


def run() -> list[Figure]:
    """Return shares of the index in a failure domain of 35 nodes."""
    members = _members(_DOMAIN_NODES)
    before = _holders_by_shard(members)
    max_shards = max(
        sum(member.name in names for names in before.values()) for member in members
    )
    return [
        Figure("kept_shards.most_held_of_35", max_shards / len(ALL_SHARDS), ""),
        Figure("kept_shards.moved_when_one_goes", _moved(before, members[1:]), ""),
        Figure(
            "kept_shards.moved_when_half_go", _moved(before, members[_LOST_NODES:]), ""
        ),
    ]


def _members(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(f"entry-{number}", ("127.0.0.1", number), "d", "r", 1)
        for number in range(count)
    )


def _holders_by_shard(members: tuple[Member, ...]) -> dict[int, set[str]]:
    return {
        shard: {member.name for member in holders_of(shard, members)}
        for shard in ALL_SHARDS
    }


def _moved(before: dict[int, set[str]], remaining: tuple[Member, ...]) -> float:
    """Return the share of all shard copies that the remaining nodes must rebuild."""
    after = _holders_by_shard(remaining)
    gained = sum(len(after[shard] - before[shard]) for shard in ALL_SHARDS)
    return gained / (_HOLDERS_PER_SHARD * len(ALL_SHARDS))


BENCH = Bench("kept_shards", run, is_count=True)
