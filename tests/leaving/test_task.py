import unittest

from fireflyward.backing import VmEntry
from fireflyward.clock import ManualClock
from fireflyward.leaving import LeavingTask, LeavingUpstreams
from fireflyward.membership import Member, Members, owners_of
from fireflyward.observe import Metrics
from fireflyward.standins import MemoryVms

NAMES = [f"entry-{index}" for index in range(6)]


class MemoryLinks:
    """Links of all nodes; ``deliver`` passes the datagrams to the handlers."""

    def __init__(self):
        self.handler_by_name = {}
        self.sent = []

    def make(self, name):
        link = MemoryLinks.Link()
        link.all, link.name = self, name
        return link

    class Link:
        def register(self, kind, struct_type, handle):
            self.all.handler_by_name[self.name] = handle

        def send(self, address, kind, message):
            self.all.sent.append((self.name, address[0], message))
            return True

    async def deliver(self):
        for sender, target, message in self.sent:
            await self.handler_by_name[target](sender, message)


class CountedVms(MemoryVms):
    reads = 0

    async def list(self):
        self.reads += 1
        return await super().list()


class TaskTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.links = MemoryLinks()
        self.vms = CountedVms()
        self.leaving_reports = []
        rows = [Member(name, (name, 1), "d1", "r", 1) for name in NAMES]
        for row in rows:
            members = Members(row)
            for other in rows:
                members.put(other)
            upstreams = LeavingUpstreams()
            upstreams.set_upstreams({"engine-1": "http://10.0.0.1:80"})
            task = LeavingTask(
                upstreams=upstreams,
                clock=self.clock,
                metrics=Metrics(),
                link=self.links.make(row.name),
                members=members,
                vms=self.vms,
                on_leaving=lambda name, node=row.name: self.leaving_reports.append(
                    (node, name)
                ),
            )
            task.start()
            self.addAsyncCleanup(task.stop)
        self.pollers = {member.name for member in owners_of("list of VMs", rows, 2)}

    async def test_all_nodes_get_a_change_within_two_seconds_though_two_poll(self):
        """Guards against a leaving upstream that gets work for ten seconds.

        Most nodes poll the list rarely, and the nodes that poll it frequently did not
        announce to them that the list contains the upstream as leaving.
        """
        await self.clock.advance_ms(1_500)
        self.vms.reads = 0
        self.vms.entry_by_name["engine-1"] = VmEntry("engine-1", "leaving")
        self.vms.as_of_ms = 5
        await self.clock.advance_ms(2_000)
        self.assertEqual(self.vms.reads, 4)
        await self.links.deliver()
        self.assertEqual({node for node, _ in self.leaving_reports}, set(NAMES))
        self.assertEqual(len(self.leaving_reports), len(NAMES))

    async def test_unavailable_list_makes_no_upstream_leaving(self):
        self.vms.unavailable = True
        await self.clock.advance_ms(30_000)
        self.assertEqual(self.leaving_reports, [])
