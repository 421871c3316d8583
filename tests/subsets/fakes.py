"""A pool's counts that a test sets, and a filter with a measured rate."""

from fireflyward.http1 import ConnectionUse
from fireflyward.replicas import PeerLoad, ReplicaDirectory
from fireflyward.subsets import ConnectionCounts, SubsetFilter
from tests.replicas.makers import entry


class FakePool:
    def __init__(self):
        self.use_by_address = {}
        self.idle = set()

    def use_of(self, address):
        use = self.use_by_address.get(address, ConnectionUse())
        return ConnectionUse(use.opened, use.reused)

    def has_idle(self, address):
        return address in self.idle

    def count(self, address, *, opened=0, reused=0):
        use = self.use_by_address.setdefault(address, ConnectionUse())
        use.opened += opened
        use.reused += reused


def entries(count, **options):
    """Return replicas that are spread over three failure domains."""
    return [entry(f"r{n}", zone="abc"[n % 3], **options) for n in range(count)]


class FilterFixture:
    """A node's filter after two seconds with ``per_second`` sends."""

    def __init__(self, listed, *, nodes=82, per_second=6, node="n1", domain="a"):
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, listed)
        self.pool, self.peers = FakePool(), PeerLoad()
        self.counts = ConnectionCounts(self.pool, self.directory)
        self.filter = SubsetFilter(
            self.directory,
            self.counts,
            node=node,
            failure_domain=domain,
            peers=self.peers,
        )
        self.filter.set_nodes(nodes)
        self.counts.update(0)
        if listed:
            self.pool.count(listed[0].address, opened=per_second)
        self.counts.update(1_000)

    def names(self, requirements, now_ms=1_000, without=()):
        available = [
            state
            for state in self.directory.of_service(requirements.service)
            if state.entry.incarnation not in without
        ]
        found = self.filter.filter(now_ms, available, requirements)
        return {state.entry.incarnation for state in found}
