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

    async def begin(self):
        for node in (self.first, self.other):
            await node.follower.step()

    async def test_changes_come_without_a_call_of_the_store(self):
        """Symptom: store calls grow with the nodes, and at 87 are the dearest price.

        Every node followed every table itself.
        """
        await self.begin()
        self.store.put("k", b"2")
        self.store.put("l", b"1")
        await self.first.follower.step()
        calls = self.store.calls
        await self.other.follower.step()
        self.assertEqual(self.other.known, {"k": b"2", "l": b"1"})
        self.assertEqual(self.store.calls, calls)

    async def test_deletions_are_told_too(self):
        await self.begin()
        self.store.put("k", is_deleted=True)
        await self.first.follower.step()
        await self.other.follower.step()
        self.assertEqual(self.other.known, {})

    async def test_a_dead_aggregator_costs_one_call(self):
        """Symptom: withdrawn keys are accepted after an aggregator lost power.

        Its neighbours wait for an answer that does not come.
        """
        await self.begin()
        self.first.is_dead = True
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.known, {"k": b"2"})

    async def test_an_aggregator_that_is_cut_off_from_the_store_says_so(self):
        """Symptom: a domain serves by an old configuration while the store is up.

        The store turned away just the aggregator, which went on answering from its
        copy.
        """
        await self.begin()
        self.clock._now_ms += 2_100
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.known, {"k": b"2"})

    async def test_a_proof_is_never_newer_than_the_aggregator_s(self):
        """Symptom: a key that was withdrawn is accepted for longer than allowed.

        The node counted its keys as fresh by when its neighbour answered, and not
        by when that had last heard of the store.
        """
        await self.begin()
        self.clock._now_ms += 1_000
        await self.other.follower.step()
        self.assertEqual(self.other.news[-1].as_of_ms, 10_000)

    async def test_an_answer_that_is_held_up_proves_nothing_later(self):
        await self.begin()
        self.clock._now_ms += 300
        await self.first.follower.step()

        async def hold_up(handler, *asked):
            answer = await handler(*asked)
            self.clock._now_ms += 900
            return answer

        handler = self.first.link.handler
        self.first.link.handler = lambda *asked: hold_up(handler, *asked)
        await self.other.follower.step()
        self.assertEqual(self.other.news[-1].as_of_ms, 10_300)

    async def test_the_store_s_answer_counts_from_when_the_store_was_asked(self):
        """Symptom: a node refuses keys although the store answers it all the time.

        Its aggregator is dead, and each proof seemed older by the time that was
        spent on asking it.
        """
        await self.begin()
        self.first.is_dead = True
        self.first.fails_after_ms = 1_300
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.news[-1].as_of_ms, 11_300)

    async def test_what_was_deleted_in_a_gap_is_read_anew(self):
        """Symptom: a replica that is gone gets requests from one domain for ever.

        The aggregator read everything anew after the store had lost its history,
        and could not tell its neighbours what had been deleted meanwhile.
        """
        await self.begin()
        self.store.put("l", b"1")
        self.store.put("k", is_deleted=True)
        self.first.follower._needs_whole = True
        await self.first.follower.step()
        await self.other.follower.step()
        await self.other.follower.step()
        self.assertEqual(self.other.known, {"l": b"1"})

    async def test_an_aggregator_behind_its_neighbour_takes_nothing_back(self):
        await self.begin()
        self.store.put("k", b"2")
        self.first.is_dead = True
        await self.other.follower.step()
        self.first.is_dead = False
        self.clock._now_ms += 2_500
        self.first.tables._copy_by_table["t"].as_of_ms = self.clock.now_ms()
        await self.other.follower.step()
        self.assertEqual(self.other.known, {"k": b"2"})

    async def test_a_node_that_is_asked_before_it_has_read_is_unable(self):
        asking = asyncio.create_task(self.other.follower.step())
        await asyncio.sleep(0)
        await self.clock.advance_ms(1_000)
        await asking
        self.assertEqual(self.other.known, {"k": b"1"})
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.known, {"k": b"2"})

    async def test_nodes_that_start_together_wait_for_the_first_reading(self):
        """Symptom: the start of 195 nodes is 400 calls of the store in a second.

        Each read every table itself, since its aggregator had not read it yet.
        """
        asking = asyncio.create_task(self.other.follower.step())
        await asyncio.sleep(0)
        await self.first.follower.step()
        await asking
        self.assertEqual(self.other.known, {"k": b"1"})
        self.assertEqual(self.store.calls, 1)

    async def test_a_node_that_starts_waits_little_for_a_silent_aggregator(self):
        """Symptom: after a loss of power callers were refused for a second more.

        Nodes were up again and asked their aggregator for the configuration, whose
        VM was still dark. The opening packet was lost and sent again a second
        later; until then they knew nothing and refused what came.
        """
        self.first.is_dark = True
        asking = asyncio.create_task(self.other.follower.step())
        await self.clock.advance_ms(149)
        self.assertEqual(self.other.known, {})
        await self.clock.advance_ms(1)
        self.assertTrue(asking.done())
        self.assertEqual(self.other.known, {"k": b"1"})

    async def test_while_the_store_is_away_a_late_aggregator_still_counts(self):
        self.store.is_down = True
        asking = asyncio.create_task(self.other.follower.step())
        await self.clock.advance_ms(300)
        self.store.is_down = False
        await self.first.follower.step()
        await self.clock.advance_ms(1)
        self.assertTrue(asking.done())
        self.assertEqual(self.other.known, {"k": b"1"})

    async def test_a_copy_s_proof_goes_with_the_whole_table(self):
        await self.first.follower.step()
        self.clock._now_ms += 900
        await self.other.follower.step()
        self.assertEqual(self.other.news[-1].as_of_ms, 10_000)

    async def test_an_aggregator_that_does_not_listen_yet_is_asked_again_soon(self):
        """Symptom: at the first start of a fleet most nodes read tables themselves.

        They were listed before their links were open, and each passed over its
        aggregator for as long as one that is lost.
        """
        await self.begin()
        self.first.is_dead = True
        for refuses, asked_again_ms in ((True, 500), (False, 2_500)):
            self.first.refuses = refuses
            await self.other.follower.step()
            now_ms = self.clock.now_ms()
            asked = self.other.tables._asked
            self.assertIsNone(asked(now_ms + asked_again_ms - 1))
            self.assertIsNotNone(asked(now_ms + asked_again_ms))
            self.clock._now_ms += asked_again_ms

    async def test_few_nodes_ask_the_store(self):
        self.other.aggregators.set_members([])
        await self.begin()
        calls = self.store.calls
        await self.other.follower.step()
        self.assertEqual(self.store.calls, calls + 1)


class HistoryTests(unittest.IsolatedAsyncioTestCase):
    async def test_whoever_is_behind_the_copy_reads_anew(self):
        clock = ManualClock()
        store = Store(clock)
        tables = SharedTables(
            store, clock=clock, aggregators=Aggregators("n0", "a", link_mbps=100)
        )
        take = tables.caching_listener("t", lambda news: None)
        follower = FeedFollower(
            "t", reader=tables, clock=clock, on_update=take, pace=lambda: Pace(0)
        )
        await follower.step()
        copy = tables._copy_by_table["t"]
        self.assertEqual(copy.after(at(0, 1)), HistoryLost())
        self.assertEqual(copy.after(at(1, 1)), ())
