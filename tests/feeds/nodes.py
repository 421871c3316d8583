"""Nodes that read shared tables, and the store that they read, in one process."""

from fireflyward.aggregators import Aggregators, Member
from fireflyward.backing import Position, Unavailable
from fireflyward.clock import Standstills
from fireflyward.feeds import (
    Changes,
    FeedFollower,
    Pace,
    SharedTables,
    Snapshot,
    TableRow,
)
from fireflyward.peers import CallFailed, pack, unpack


class Store:
    """A store with one table, whose feed answers without delay."""

    def __init__(self, clock):
        self.clock = clock
        self.rows_by_key = {}
        self.era = 1
        self.version = 1
        self.calls = 0
        self.is_down = False

    @property
    def position(self):
        return Position(self.era, self.version)

    def put(self, key, value=b"", *, is_deleted=False):
        self.version += 1
        self.rows_by_key[key] = TableRow(key, value, self.position, is_deleted)

    async def rows(self, table, *, part="", limit_ms=1_000):
        self.calls += 1
        if self.is_down:
            return Unavailable("down")
        current = [row for row in self.rows_by_key.values() if not row.is_deleted]
        return Snapshot(tuple(current), self.position)

    async def changes(self, table, *, after, wait_ms, limit_ms):
        self.calls += 1
        if self.is_down:
            return Unavailable("down")
        rows = [row for row in self.rows_by_key.values() if row.position > after]
        if not rows:
            await self.clock.sleep_ms(wait_ms)
        return Changes(tuple(rows), self.position)


class Link:
    def __init__(self, network):
        self.network = network
        self.handler = None

    def register(self, kind, struct_type, handle):
        self.handler = handle

    async def call(self, address, kind, message, reply_type, *, timeout_s):
        other = self.network[address[0]]
        if other.is_unreachable:
            await other.clock.sleep_ms(timeout_s * 1_000)
            return CallFailed("no answer", False)
        if other.is_stopped:
            other.clock._now_ms += other.failure_delay_ms
            return CallFailed("no answer", other.refuses_connections)
        answer = await other.link.handler("", message)
        return unpack(reply_type, pack(answer))


class Node:
    def __init__(self, name, network, store, clock, domain_by_name):
        self.clock = clock
        self.name = name
        self.is_stopped = False
        self.is_unreachable = False
        self.refuses_connections = False
        self.failure_delay_ms = 0
        self.link = Link(network)
        domain = domain_by_name[name]
        self.aggregators = Aggregators(name, domain, link_mbps=100)
        members = [
            Member(other, where, (other, 1), 100)
            for other, where in domain_by_name.items()
            if other != name
        ]
        self.aggregators.set_members(members)
        self.standstills = Standstills(clock=clock)
        self.tables = SharedTables(
            store,
            clock=clock,
            aggregators=self.aggregators,
            lost_ms=lambda since_ms: self.standstills.lost_ms(
                clock.now_ms(), since_ms=since_ms
            ),
        )
        self.tables.use(self.link)
        self.updates = []
        self.follower = FeedFollower(
            "t",
            reader=self.tables,
            clock=clock,
            on_update=self.tables.caching_listener("t", self.updates.append),
            pace=lambda: Pace(0),
        )

    @property
    def received_rows(self):
        rows = {}
        for update in self.updates:
            if update.is_snapshot:
                rows.clear()
            for row in update.rows:
                rows[row.key] = row.value
                if row.is_deleted:
                    del rows[row.key]
        return rows
