"""The rows of nodes that have gone end, and no others."""

import unittest

from fireflyward.clock import ManualClock
from fireflyward.presence import PresenceTask


class _Network:
    def __init__(self):
        self.handlers_by_address = {}
        self.cut = set()
        self.sent = 0

    def link(self, name, address):
        return _Link(self, name, address)


class _Link:
    def __init__(self, network, name, address):
        self._network, self._name, self.address = network, name, address
        self._handlers = network.handlers_by_address[address] = {}
        self.pending = []

    def register(self, kind, struct_type, handle):
        self._handlers[kind] = handle

    def send(self, address, kind, message):
        self.send_all([address], kind, message)

    def send_all(self, addresses, kind, message):
        self._network.sent += len(addresses)
        self.pending += [(address, kind, message) for address in addresses]

    async def deliver(self):
        pending, self.pending = self.pending, []
        for address, kind, message in pending:
            handlers = self._network.handlers_by_address.get(address)
            if handlers is not None and address not in self._network.cut:
                await handlers[kind](self._name, message)


class PresenceTaskTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.network = _Network()
        self.rows = {}
        self.writes = []
        self.links = []
        self.holds = True
        self.asker = self.add("n0", may_act=lambda: self.holds)

    def add(self, name, *, may_act=lambda: False):
        address = ("10.0.0.1", len(self.rows))
        self.rows[name] = address
        task = PresenceTask(
            clock=self.clock,
            listed=lambda: {key: at for key, at in self.rows.items() if key != name},
            end_rows=self.end_rows,
            may_act=may_act,
        )
        link = self.network.link(name, address)
        self.links.append(link)
        task.use(link)
        return task

    async def end_rows(self, names):
        self.writes.append(names)
        for name in names:
            del self.rows[name]
        return True

    async def run_for(self, duration_ms):
        for _ in range(duration_ms // 1_000):
            await self.asker.step()
            for _ in range(2):
                for link in self.links:
                    await link.deliver()
            await self.clock.advance_ms(1_000)

    async def test_rows_of_a_hundred_replaced_nodes_end(self):
        """Guards against budgets and duties that are divided among gone nodes."""
        running = {f"n{number}" for number in range(9)}
        for name in sorted(running - {"n0"}):
            self.add(name)
        for number in range(100):
            self.rows[f"gone-{number}"] = ("10.0.0.2", number)
        await self.run_for(180_000)
        self.assertEqual(self.rows.keys(), running)
        self.assertEqual(self.asker.ended, 100)
        self.assertLessEqual(len(self.writes), 10)

    async def test_an_address_that_another_node_uses_now_proves_nothing(self):
        """Guards against rows that stay because their address was assigned again."""
        self.add("n1")
        self.rows["gone"] = self.rows["n1"]
        await self.run_for(180_000)
        self.assertEqual(self.rows.keys(), {"n0", "n1"})

    async def test_a_node_that_is_cut_off_is_listed_again_when_it_writes(self):
        """Guards against budgets that are divided anew every two minutes in a cut."""
        self.add("n1")
        self.add("n2")
        address = self.rows["n2"]
        self.network.cut.add(address)
        await self.run_for(180_000)
        self.assertNotIn("n2", self.rows)
        self.rows["n2"] = address
        await self.run_for(900_000)
        self.assertIn("n2", self.rows)
        self.network.cut.clear()
        await self.run_for(300_000)
        self.assertEqual(self.rows.keys(), {"n0", "n1", "n2"})

    async def test_a_node_without_the_lease_asks_nobody(self):
        self.holds = False
        self.add("n1")
        await self.run_for(180_000)
        self.assertEqual((self.network.sent, self.writes), (0, []))

    async def test_a_standstill_counts_as_no_silence(self):
        """Guards against ended rows after the node that asks stood still."""
        self.add("n1")
        self.add("n2")
        self.network.cut.add(self.rows["n2"])
        await self.run_for(110_000)
        await self.clock.advance_ms(100_000)
        self.network.cut.clear()
        await self.run_for(60_000)
        self.assertEqual(self.rows.keys(), {"n0", "n1", "n2"})
