"""Assigns the shards of the index to nodes."""

from fireflyward.membership import Member, owners_of

from ._stores import SHARDS

HOLDERS_PER_SHARD = 2
MAX_NODES_WITH_ALL_SHARDS = 4
ALL_SHARDS = frozenset(range(SHARDS))


def shards_held_by(own: Member, domain_members: tuple[Member, ...]) -> frozenset[int]:
    """Return the shards that ``own`` holds among its failure domain's live members.

    Each failure domain has its own index, so that a domain which is cut off can
    continue independently. In a domain of up to four nodes each node holds all shards
    and sends no queries. In a larger domain each shard is assigned to two nodes by
    rendezvous hashing, so replacing a node moves only the shards of that node.
    """
    if len(domain_members) <= MAX_NODES_WITH_ALL_SHARDS:
        return ALL_SHARDS
    return frozenset(
        shard for shard in ALL_SHARDS if own in holders_of(shard, domain_members)
    )


def holders_of(shard: int, domain_members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the nodes that hold a shard in a large failure domain."""
    return owners_of(f"kept/{shard}", domain_members, HOLDERS_PER_SHARD)
