"""Which shards of the index a node holds."""

from fireflyward.membership import Member, owners_of

from ._stores import SHARDS

COPIES = 2
SMALL_DOMAIN = 4
ALL_SHARDS = frozenset(range(SHARDS))


def shards_held_by(own: Member, domain_members: tuple[Member, ...]) -> frozenset[int]:
    """Return the shards that ``own`` holds among its failure domain's live members.

    Each domain holds an index of its own, so that one which is cut off goes on
    alone. In a domain of up to four nodes each holds everything and looks nowhere
    else; in a larger one each shard lies at two nodes by rendezvous hashing, so a
    node that is replaced moves only its own shards.
    """
    if len(domain_members) <= SMALL_DOMAIN:
        return ALL_SHARDS
    return frozenset(
        shard for shard in ALL_SHARDS if own in holders_of(shard, domain_members)
    )


def holders_of(shard: int, domain_members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the nodes that hold a shard in a large failure domain."""
    return owners_of(f"kept/{shard}", domain_members, COPIES)
