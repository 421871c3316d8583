"""Nodes that read tables through the aggregator of their failure domain."""

import asyncio
import unittest

from fireflyward.aggregators import Aggregators
from fireflyward.clock import ManualClock
from fireflyward.feeds import (
    FeedFollower,
    HistoryLost,
    Pace,
    SharedTables,
)
from tests.positions import at

from .nodes import Node, Store

DOMAINS = {f"n{i}": "a" for i in range(14)}


class SharingTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.store = Store(self.clock)
        self.store.put("k", b"1")
        self.network = {}
        for name in DOMAINS:
            self.network[name] = Node(
                name, self.network, self.store, self.clock, DOMAINS
            )
        nodes = list(self.network.values())
        (self.first,) = [node for node in nodes if node.tables.serves_other_nodes]
        self.other = next(node for node in nodes if node is not self.first)

    async def step_both(self):
        for node in (self.first, self.other):
            await node.follower.step()

    async def test_changes_arrive_without_a_call_to_the_store(self):
        """Guards against store calls that grow with the number of nodes.

        Every node followed every table itself; with 87 nodes, no other cost was higher.
        """
        await self.step_both()
        self.store.put("k", b"2")
        self.store.put("l", b"1")
        await self.first.follower.step()
        calls = self.store.calls
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {"k": b"2", "l": b"1"})
        self.assertEqual(self.store.calls, calls)
        self.assertEqual(self.first.updates[-1].source, "store")
        self.assertEqual(self.other.updates[-1].source, self.first.name)

    async def test_an_answer_of_another_build_is_not_used(self):
        """Guards against a table that seems current, or is followed no more."""
        await self.step_both()
        self.store.put("k", b"2")
        odd = [
            {"age_ms": -60_000},
            {"waited_ms": 60_000},
            {"waited_ms": -1},
            {"version": -1},
            {"era": -1},
            {"outcome": "novel"},
        ]
        handle = self.first.link.handler
        for changes in odd:

            async def answer(sender, query, changes=changes):
                found = await handle(sender, query)
                for name, value in changes.items():
                    setattr(found, name, value)
                return found

            with self.subTest(changes=changes):
                self.first.link.handler = answer
                self.other.tables._store_only_until_ms = 0
                await self.first.follower.step()
                await self.other.follower.step()
                update = self.other.updates[-1]
                self.assertLessEqual(update.as_of_ms, self.clock.now_ms())
                self.assertEqual(self.other.received_rows, {"k": b"2"})
                self.assertGreaterEqual(update.position.version, 0)

    async def test_deletions_are_sent_too(self):
        await self.step_both()
        self.store.put("k", is_deleted=True)
        await self.first.follower.step()
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {})

    async def test_stopped_aggregator_costs_one_call(self):
        """Guards against withdrawn keys that are accepted after an aggregator stopped.

        The aggregator lost power, and the other nodes of its domain waited for its
        answer.
        """
        await self.step_both()
        self.first.is_stopped = True
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {"k": b"2"})

    async def test_aggregator_without_a_reachable_store_stops_answering(self):
        """Guards against a domain that uses an outdated configuration.

        The store was up and rejected only the aggregator's calls, and the aggregator
        continued to answer from its cached table.
        """
        await self.step_both()
        self.clock._now_ms += 2_100
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {"k": b"2"})

    async def test_as_of_time_is_never_later_than_the_aggregator_s(self):
        """Guards against a withdrawn key that is accepted for longer than allowed.

        The node took the time of its aggregator's answer as the age of its keys, in
        place of the time at which the aggregator had last read them from the store.
        """
        await self.step_both()
        self.clock._now_ms += 1_000
        await self.other.follower.step()
        self.assertEqual(self.other.updates[-1].as_of_ms, 10_000)

    async def test_delay_of_an_answer_does_not_make_it_newer(self):
        await self.step_both()
        self.clock._now_ms += 300
        await self.first.follower.step()

        async def delay_answer(handler, *args):
            answer = await handler(*args)
            self.clock._now_ms += 900
            return answer

        handler = self.first.link.handler
        self.first.link.handler = lambda *args: delay_answer(handler, *args)
        await self.other.follower.step()
        self.assertEqual(self.other.updates[-1].as_of_ms, 10_300)

    async def test_age_of_the_store_s_answer_counts_from_the_call_to_the_store(self):
        """Guards against a node that rejects keys although the store answers its calls.

        The aggregator had stopped, and the time spent on the query to it was added to
        the age of each answer of the store.
        """
        await self.step_both()
        self.first.is_stopped = True
        self.first.failure_delay_ms = 1_300
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.updates[-1].as_of_ms, 11_300)

    async def test_deletions_in_lost_history_require_a_full_read(self):
        """Guards against one domain that never stops sending to a removed replica.

        The aggregator read the full table after the store had lost its history, and
        could not report to other nodes which rows had been deleted in between.
        """
        await self.step_both()
        self.store.put("l", b"1")
        self.store.put("k", is_deleted=True)
        self.first.follower._needs_full_read = True
        await self.first.follower.step()
        await self.other.follower.step()
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {"l": b"1"})

    async def test_aggregator_that_lags_behind_a_node_reverts_nothing(self):
        await self.step_both()
        self.store.put("k", b"2")
        self.first.is_stopped = True
        await self.other.follower.step()
        self.first.is_stopped = False
        self.clock._now_ms += 2_500
        self.first.tables._cached_by_table["t"].as_of_ms = self.clock.now_ms()
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {"k": b"2"})

    async def test_query_fails_while_the_aggregator_has_not_read_the_table(self):
        step = asyncio.create_task(self.other.follower.step())
        await asyncio.sleep(0)
        await self.clock.advance_ms(1_000)
        await step
        self.assertEqual(self.other.received_rows, {"k": b"1"})
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {"k": b"2"})

    async def test_nodes_that_start_together_wait_for_the_first_read(self):
        """Guards against 400 store calls in a second when 195 nodes start.

        Each node read every table itself, because its aggregator had not yet read it.
        """
        step = asyncio.create_task(self.other.follower.step())
        await asyncio.sleep(0)
        await self.first.follower.step()
        await step
        self.assertEqual(self.other.received_rows, {"k": b"1"})
        self.assertEqual(self.store.calls, 1)

    async def test_starting_node_waits_briefly_for_an_unreachable_aggregator(self):
        """Guards against requests that are rejected for a second after a power loss.

        Nodes were up again and requested the configuration from their aggregator, whose
        VM was still down. The first packet of the connection was lost and sent again a
        second later; until then the nodes had no configuration.
        """
        self.first.is_unreachable = True
        step = asyncio.create_task(self.other.follower.step())
        await self.clock.advance_ms(149)
        self.assertEqual(self.other.received_rows, {})
        await self.clock.advance_ms(1)
        self.assertTrue(step.done())
        self.assertEqual(self.other.received_rows, {"k": b"1"})

    async def test_late_answer_of_the_aggregator_is_used_while_the_store_is_down(self):
        self.store.is_down = True
        step = asyncio.create_task(self.other.follower.step())
        await self.clock.advance_ms(300)
        self.store.is_down = False
        await self.first.follower.step()
        await self.clock.advance_ms(1)
        self.assertTrue(step.done())
        self.assertEqual(self.other.received_rows, {"k": b"1"})

    async def test_full_read_includes_the_aggregator_s_as_of_time(self):
        await self.first.follower.step()
        self.clock._now_ms += 900
        await self.other.follower.step()
        self.assertEqual(self.other.updates[-1].as_of_ms, 10_000)

    async def test_aggregator_that_refuses_connections_is_soon_queried_again(self):
        """Guards against nodes that read tables themselves when a fleet starts.

        Aggregators were listed before their links were open, and the other nodes waited
        as long before the next query as after the loss of an aggregator.
        """
        await self.step_both()
        self.first.is_stopped = True
        for refuses_connections, pause_ms in ((True, 500), (False, 2_500)):
            self.first.refuses_connections = refuses_connections
            await self.other.follower.step()
            now_ms = self.clock.now_ms()
            node_to_query = self.other.tables._node_to_query
            self.assertIsNone(node_to_query(now_ms + pause_ms - 1))
            self.assertIsNotNone(node_to_query(now_ms + pause_ms))
            self.clock._now_ms += pause_ms

    async def test_a_standstill_does_not_make_retained_rows_newer(self):
        """Guards against a withdrawn key that is accepted anew after a standstill.

        The node stood still while other nodes' answers with rows of an earlier era
        waited to be read, and took the time of reading for the time of the answers.
        """
        await self.first.follower.step()
        self.store.era = 2
        self.store.version = 0
        del self.store.rows_by_key["k"]
        cached = self.first.tables._cached_by_table["t"]
        cached._retains_rows = True
        await self.first.follower.step()
        await self.first.follower.step()
        for node in self.network.values():
            node.link.handler = self.first.link.handler
        call = self.other.link.call

        async def call_and_stand_still(*args, **options):
            answer = await call(*args, **options)
            self.clock._now_ms += 3_000
            return answer

        self.other.link.call = call_and_stand_still
        self.other.tables._era = lambda: 2
        updates = await self.other.tables.fetch_retained_rows("t")
        self.assertEqual([row.key for row in updates[0].rows], ["k"])
        self.assertLessEqual(max(update.as_of_ms for update in updates), 10_000)

    async def test_a_query_that_fails_in_a_standstill_is_no_fault_of_the_aggregator(
        self,
    ):
        """Guards against nodes that all read from the store after a standstill."""
        await self.step_both()
        self.other.standstills.on_tick(self.clock.now_ms())
        self.first.is_stopped = True
        self.first.failure_delay_ms = 8_000
        await self.other.follower.step()
        self.first.is_stopped = False
        self.first.tables._cached_by_table["t"].as_of_ms = self.clock.now_ms()
        self.store.put("k", b"2")
        await self.first.follower.step()
        calls = self.store.calls
        await self.other.follower.step()
        self.assertEqual(self.store.calls, calls)
        self.assertEqual(self.other.updates[-1].source, self.first.name)

    async def test_an_aggregator_is_soon_queried_again_if_all_nodes_stood_still(self):
        """Guards against nodes that all read from the store after a standstill.

        The aggregator had stood still too, and its table was too old for an answer.
        """
        await self.step_both()
        self.other.standstills.on_tick(self.clock.now_ms())
        self.clock._now_ms += 8_000
        self.other.standstills.on_tick(self.clock.now_ms())
        await self.other.follower.step()
        await self.first.follower.step()
        now_ms = self.clock.now_ms()
        self.assertIsNotNone(self.other.tables._node_to_query(now_ms + 500))

    async def test_few_nodes_query_the_store(self):
        self.other.aggregators.set_members([])
        await self.step_both()
        calls = self.store.calls
        await self.other.follower.step()
        self.assertEqual(self.store.calls, calls + 1)


class LostHistoryTests(unittest.IsolatedAsyncioTestCase):
    async def test_reader_behind_the_cached_table_needs_a_full_read(self):
        clock = ManualClock()
        store = Store(clock)
        tables = SharedTables(
            store, clock=clock, aggregators=Aggregators("n0", "a", link_mbps=100)
        )
        listener = tables.caching_listener("t", lambda update: None)
        follower = FeedFollower(
            "t", reader=tables, clock=clock, on_update=listener, pace=lambda: Pace(0)
        )
        await follower.step()
        cached = tables._cached_by_table["t"]
        self.assertEqual(cached.changes_after(at(0, 1)), HistoryLost())
        self.assertEqual(cached.changes_after(at(1, 1)), ())
