"""Nodes that announce the speeds of replicas to each other."""

import random
import unittest

from fireflyward.clock import ManualClock
from fireflyward.speeds._speeds_structs import SpeedNews
from tests.replicas.makers import entry

from .mesh import Mesh


class SpeedTaskTests(unittest.IsolatedAsyncioTestCase):
    def make(self, **options):
        self.clock = ManualClock(10_000)
        self.mesh = Mesh(self.clock, **options)
        self.first, self.second, *_ = self.mesh.by_name.values()

    def factors(self):
        return self.mesh.factors(self.clock.now_ms())

    async def test_a_change_and_its_end_reach_a_few_nodes_within_20_ms(self):
        self.make(nodes=4)
        for report, factor in (("1,0,8,250", 2.5), ("1,0,8,100", 1.0)):
            self.first.answer(report)
            await self.clock.advance_ms(20)
            self.assertEqual(self.factors(), {factor})
        self.assertEqual(len(self.mesh.sent()), 6)

    async def test_a_change_reaches_many_nodes_of_all_domains_once(self):
        """Guards against announcements whose number grows with the square of nodes."""
        self.make(nodes=30, domains=3)
        for node in self.mesh.by_name.values():
            node.answer("1,0,8,250")
        await self.clock.advance_ms(5)
        self.assertEqual(self.factors(), {2.5})
        await self.clock.advance_ms(100)
        # Each node to its aggregator, the aggregators to their nodes and each other.
        self.assertLessEqual(len(self.mesh.sent()), 30 + 27 + 6)

    async def test_one_observation_reaches_all_domains_over_the_aggregators(self):
        self.make(nodes=30, domains=3)
        self.mesh.by_name["n17"].answer("1,0,8,250")
        await self.clock.advance_ms(20)
        self.assertEqual(self.factors(), {2.5})

    async def test_an_unchanged_figure_is_announced_only_before_it_expires(self):
        self.make(nodes=4)
        for _ in range(24):
            self.first.answer("1,0,8,250")
            await self.clock.advance_ms(20)
        self.assertEqual(len(self.mesh.sent()), 2 * 3)
        self.assertEqual(self.factors(), {2.5})

    async def test_received_figures_are_not_announced(self):
        self.make(nodes=4)
        self.first.answer("1,0,8,250")
        await self.clock.advance_ms(20)
        self.second.answer("1,0,8,250")
        await self.clock.advance_ms(20)
        self.assertEqual(self.second.link.sent, [])

    async def test_a_late_or_repeated_message_does_not_undo_a_younger_figure(self):
        """Guards against a slow phase that returns when a datagram is delayed."""
        self.make(nodes=2)
        self.first.answer("1,0,8,250")
        await self.clock.advance_ms(20)
        ((_, kind, message),) = self.first.link.sent
        self.second.answer("1,0,8,100")
        late = SpeedNews(replicas=message.replicas, percents=[250], ages_ms=[300])
        for repeated in (late, late):
            self.mesh.deliver("n0", "n1", kind, repeated)
        self.assertEqual(self.second.factor(self.clock.now_ms()), 1.0)
        self.mesh.deliver(
            "n0", "n1", kind, SpeedNews(replicas=[1], percents=[], ages_ms=[])
        )
        self.mesh.deliver(
            "n0", "n1", kind, SpeedNews(replicas=[1], percents=[-5], ages_ms=[-9])
        )

    async def test_a_restarted_replica_is_not_slow_by_its_former_figure(self):
        self.make(nodes=2)
        self.second.directory.on_full_read(0, [entry("r0", started_ms=6)])
        self.first.answer("1,0,8,250")
        await self.clock.advance_ms(20)
        self.assertEqual(self.second.factor(self.clock.now_ms()), 1.0)

    async def test_after_a_lost_message_the_observation_is_repeated(self):
        """Guards against nodes that stay uninformed because one datagram was lost."""
        self.make(nodes=4)
        self.mesh.cut_off = {"n1"}
        self.first.answer("1,0,8,250")
        await self.clock.advance_ms(250)
        self.mesh.cut_off = set()
        self.assertEqual(self.second.factor(self.clock.now_ms()), 1.0)
        self.first.answer("1,0,8,250")
        await self.clock.advance_ms(20)
        self.assertEqual(self.second.factor(self.clock.now_ms()), 2.5)

    async def test_without_its_aggregator_a_node_uses_its_own_observations(self):
        """Guards against slow figures that outlive a lost aggregator or a cut link."""
        self.make(nodes=30, domains=3)
        node = self.mesh.by_name["n17"]
        aggregator = node.aggregators.own_aggregator(self.clock.now_ms())
        self.mesh.cut_off = {aggregator.name}
        node.answer("1,0,8,250")
        await self.clock.advance_ms(20)
        self.assertEqual(node.factor(self.clock.now_ms()), 2.5)
        self.assertEqual(self.factors(), {1.0, 2.5})
        await self.clock.advance_ms(500)
        self.assertEqual(self.factors(), {1.0})

    async def test_other_nodes_repeats_do_not_postpone_those_of_an_aggregator(self):
        """Guards against a node that stays uninformed while others are too."""
        self.make(nodes=30, domains=3)
        uninformed = self.mesh.by_name["n5"]
        self.mesh.cut_off = {"n5", "n11"}
        self.mesh.by_name["n17"].answer("1,0,8,250")
        await self.clock.advance_ms(200)
        self.mesh.cut_off = set()
        self.mesh.by_name["n11"].answer("1,0,8,250")
        await self.clock.advance_ms(100)
        self.assertEqual(uninformed.factor(self.clock.now_ms()), 1.0)
        self.mesh.by_name["n17"].answer("1,0,8,250")
        await self.clock.advance_ms(20)
        self.assertEqual(uninformed.factor(self.clock.now_ms()), 2.5)

    async def test_an_older_node_ignores_the_messages(self):
        self.make(nodes=3)
        self.second.link.handler_by_kind.clear()
        self.first.answer("1,0,8,250")
        await self.clock.advance_ms(20)
        self.assertEqual(self.factors(), {1.0, 2.5})

    async def test_an_unreadable_report_is_counted_and_logged_once(self):
        self.make(nodes=2)
        with self.assertLogs("fireflyward.speeds", "WARNING") as logged:
            for report in ("1,0,8,0", "1,0,8,-5", "1,0", "1,0,8,1,1", "busy", "²,1,8"):
                self.first.answer(report)
        self.assertEqual(len(logged.records), 1)
        self.assertEqual(self.first.task.unreadable, 6)
        self.assertEqual(self.first.factor(self.clock.now_ms()), 1.0)

    async def test_an_answer_of_another_replica_at_the_address_is_ignored(self):
        self.make(nodes=2)
        self.first.answer("1,0,8,250", status=421)
        self.assertEqual(self.first.factor(self.clock.now_ms()), 1.0)

    async def test_a_rejection_by_another_replica_is_ignored(self):
        """Guards against a figure recorded for a replica that has gone."""
        self.make(nodes=2)
        headers = (("x-instance-id", "r7"),)
        self.first.answer("1,0,8,250", status=503, headers=headers)
        self.assertEqual(self.first.factor(self.clock.now_ms()), 1.0)

    async def test_replicas_without_the_figure_cause_no_message(self):
        self.make(nodes=2)
        self.first.answer("1,0,8")
        await self.clock.advance_ms(1_000)
        self.assertEqual(self.mesh.sent(), [])
        self.assertIsNone(self.first.directory.find("r0").speed.percent)

    async def test_a_figure_has_the_same_time_at_all_nodes(self):
        """Guards against figures that are younger at each node they pass."""
        self.make(nodes=30, domains=3)
        self.mesh.by_name["n17"].answer("1,0,8,250")
        await self.clock.advance_ms(20)
        nodes = self.mesh.by_name.values()
        times = {node.directory.find("r0").speed.as_of_ms for node in nodes}
        self.assertEqual(times, {10_000})

    async def test_a_figure_that_expires_before_its_batch_is_not_sent(self):
        """Guards against old figures that use up the bytes for new ones."""
        self.make(nodes=30, domains=3, replicas=120)
        node = self.mesh.by_name["n17"]
        for number in range(1, 120):
            node.answer("1,0,8,250", name=f"r{number}")
        await self.clock.advance_ms(20)
        node.answer("1,0,8,250")
        await self.clock.advance_ms(5_000)
        self.assertEqual((len(node.link.sent), node.task.expired), (1, 1))

    async def bytes_received(self, **options):
        """Return what each node receives in 2 s while figures always change."""
        self.make(replicas=200, **options)
        names = list(self.mesh.by_name)
        rng = random.Random(1)
        for _ in range(200):
            for _ in range(8):
                node = self.mesh.by_name[rng.choice(names)]
                percent = rng.choice((100, 250, 400))
                node.answer(f"1,0,8,{percent}", name=f"r{rng.randrange(200)}")
            await self.clock.advance_ms(10)
        return self.mesh.bytes_by_node

    async def test_the_rate_of_announcements_is_bounded(self):
        """Guards against figures that change at each answer and fill a node's link."""
        received = await self.bytes_received(nodes=30, domains=3)
        node = self.mesh.by_name["n17"]
        self.assertNotEqual(node.aggregators.own_aggregator(0).name, "n17")
        self.assertLess(received["n17"], 2 * 2_000 + 600 + 1_400)

    async def test_the_bytes_from_several_senders_are_bounded(self):
        """Guards against limits of each sender that add up at an aggregator."""
        for nodes, domains, senders in ((30, 3, 9 + 2), (13, 13, 12), (12, 1, 11)):
            with self.subTest(nodes=nodes, domains=domains):
                received = await self.bytes_received(nodes=nodes, domains=domains)
                # The saved bytes of each sender, and a datagram beyond the limit.
                at_once = senders * (600 + 500)
                self.assertLess(max(received.values()), 2 * 4_000 + at_once)
