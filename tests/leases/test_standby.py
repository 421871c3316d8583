"""A lease finds a holder though all of its contenders have gone."""

import unittest

from fireflyward.clock import ManualClock
from fireflyward.leases import LeaseAnnouncer, LeaseTask, Standby
from fireflyward.standins import MemoryTable

_LEASE_MS = 3_000
_STEP_MS = 250
_POLL_MS = 1_000
_CONTENDERS = 7
# Fleets: the smallest deployment, a large one, and the largest that is designed for.
_SIZES = (9, 100, 350)
# The time in which new weights must be loaded on the users' platform.
_VERSION_MS = 12_000


class _Network:
    """Delivers the announcements of all nodes, unless they are lost or gone."""

    def __init__(self):
        self.handler_by_address = {}
        self.delivers = True
        self.pending = []
        self.sent = 0

    def link(self, address):
        return _Link(self, address)

    async def deliver(self):
        pending, self.pending = self.pending, []
        for address, message in pending:
            if self.delivers and address in self.handler_by_address:
                await self.handler_by_address[address]("sender", message)


class _Link:
    def __init__(self, network, address):
        self._network, self._address = network, address

    def register(self, kind, struct_type, handle, *, expires):
        self._network.handler_by_address[self._address] = handle

    def send_all(self, addresses, kind, message):
        self._network.sent += len(addresses)
        self._network.pending += [(address, message) for address in addresses]


class _Fleet:
    """Nodes whose list also names ``gone`` nodes, all of which rank first."""

    def __init__(self, size, *, gone=0):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.network = _Network()
        self.places = range(gone, gone + size)
        self.size = gone + size
        self.lease_by_place = {place: self._make(place) for place in self.places}

    def _make(self, place):
        def announce(row, position):
            announcer.announce(row, position)

        lease = LeaseTask(
            "orders",
            clock=self.clock,
            table=self.table,
            holder=f"n{place}",
            lease_ms=_LEASE_MS,
            contends=lambda: place < _CONTENDERS,
            standby=Standby.with_announcements(
                _LEASE_MS, place=lambda: place / self.size
            ),
            on_row_written=announce,
        )
        first, others = range(_CONTENDERS), range(_CONTENDERS, self.size)
        announcer = LeaseAnnouncer(
            lease,
            contenders=lambda: [item for item in first if item != place],
            others=lambda: [item for item in others if item != place],
        )
        announcer.use(self.network.link(place))
        return lease

    def holders(self):
        return [place for place, item in self.lease_by_place.items() if item.claim()]

    async def run(self, limit_ms, *, until=lambda: False):
        """Let the nodes poll at times that are spread; return how long it took."""
        started_ms = self.clock.now_ms()
        while self.clock.now_ms() - started_ms < limit_ms and not until():
            turn = self.clock.now_ms() // _STEP_MS % (_POLL_MS // _STEP_MS)
            for place, lease in list(self.lease_by_place.items()):
                if place % (_POLL_MS // _STEP_MS) == turn:
                    await lease.step()
            await self.network.deliver()
            await self.clock.advance_ms(_STEP_MS)
        return self.clock.now_ms() - started_ms

    async def until_held(self):
        return await self.run(60_000, until=self.holders)

    def kill(self, places):
        for place in places:
            self.lease_by_place.pop(place, None)
            self.network.handler_by_address.pop(place, None)


class StandbyTests(unittest.IsolatedAsyncioTestCase):
    async def test_released_lease_is_taken_over_without_contenders(self):
        """Guards against a released lease that no node takes, as all first are gone."""
        for size in _SIZES:
            with self.subTest(size=size):
                fleet = _Fleet(size, gone=100)
                await fleet.until_held()
                (holder,) = fleet.holders()
                await fleet.run(10_000)
                await fleet.lease_by_place[holder].hand_over()
                await fleet.network.deliver()
                fleet.kill([holder])
                self.assertLessEqual(await fleet.until_held(), 2 * _LEASE_MS)

    async def test_lease_of_a_killed_holder_is_taken_over_without_contenders(self):
        """Guards against replicas without orders after the first nodes were killed."""
        for size in _SIZES:
            with self.subTest(size=size):
                fleet = _Fleet(size)
                await fleet.until_held()
                await fleet.run(10_000)
                fleet.kill([*range(_CONTENDERS), *fleet.holders()])
                self.assertLessEqual(await fleet.until_held(), _VERSION_MS)

    async def test_lease_is_taken_over_though_no_announcement_arrives(self):
        """Guards against a takeover that depends on messages between nodes."""
        fleet = _Fleet(9)
        await fleet.until_held()
        fleet.network.delivers = False
        await fleet.run(20_000)
        fleet.kill([*range(_CONTENDERS), *fleet.holders()])
        self.assertLessEqual(await fleet.until_held(), _VERSION_MS)

    async def test_a_fleet_that_starts_on_rows_of_gone_nodes_gets_a_holder(self):
        """Guards against a restart of all nodes after which nobody gives orders."""
        for size in _SIZES:
            with self.subTest(size=size):
                fleet = _Fleet(size, gone=3_300)
                self.assertLessEqual(await fleet.until_held(), _VERSION_MS)

    async def test_nodes_that_hear_of_the_holder_do_not_poll(self):
        """Guards against 350 nodes that all poll one row of the store."""
        fleet = _Fleet(350, gone=7)
        await fleet.until_held()
        await fleet.run(5_000)
        fleet.table.reads = fleet.network.sent = 0
        await fleet.run(60_000)
        self.assertEqual(fleet.table.reads, 0)
        self.assertLessEqual(fleet.network.sent, 60 * 350 // 2 + 60 * _CONTENDERS)

    async def test_polls_without_announcements_are_spread(self):
        """Guards against a fleet without links that uses up the store's reads."""
        fleet = _Fleet(350)
        fleet.network.delivers = False
        await fleet.until_held()
        await fleet.run(10_000)
        fleet.table.reads = 0
        await fleet.run(60_000)
        self.assertLessEqual(fleet.table.reads / 60, 120)
        self.assertEqual(len(fleet.holders()), 1)
