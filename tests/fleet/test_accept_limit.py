"""Connections that a node refuses while most new ones are handed to it."""

import asyncio
import unittest
from unittest import mock

import aiohttp

from fireflyward.fleet._accept_limit import AcceptLimit, NodeLoads

from .node_fixtures import FleetTestCase, NodeTestCase

_SKEWED = NodeLoads(own=200.0, others=10.0)
_EVEN = NodeLoads(own=200.0, others=150.0)


class AcceptLimitTests(unittest.TestCase):
    def setUp(self):
        self.limit = AcceptLimit(max_descriptors=4_100)

    def lag(self, lag_ms, *, times=20):
        for number in range(times):
            self.limit.on_lag(number, lag_ms)

    def test_a_node_that_keeps_up_accepts_all(self):
        self.lag(30.0)
        self.assertTrue(self.limit.may_accept(20, 100, _SKEWED))

    def test_a_lagging_node_leaves_callers_to_idle_ones(self):
        """Guards against one node that answers all callers late beside idle nodes."""
        self.lag(400.0)
        self.assertTrue(self.limit.is_lagging(20))
        self.assertFalse(self.limit.may_accept(20, 100, _SKEWED))
        self.assertEqual(self.limit.refused, 1)

    def test_idle_connections_stay_within_their_memory(self):
        """Guards against a node that idle callers fill until it is killed."""
        limit = AcceptLimit(max_descriptors=100_000, memory_bytes=12 << 20)
        self.assertTrue(limit.may_accept(0, 1_000))
        self.assertFalse(limit.may_accept(0, 1_100))
        self.assertEqual(limit.refused, 1)

    def test_nodes_that_are_all_busy_accept_all(self):
        """Guards against callers that no node accepts."""
        self.lag(400.0)
        self.assertTrue(self.limit.may_accept(20, 100, _EVEN))

    def test_one_pause_of_the_process_is_no_lag(self):
        self.lag(5.0)
        self.limit.on_lag(20, 500.0)
        self.assertFalse(self.limit.is_lagging(20))

    def test_an_old_lag_does_not_count(self):
        self.lag(400.0)
        self.assertFalse(self.limit.is_lagging(1_000))

    def test_descriptors_are_left_for_replicas_and_nodes(self):
        """Guards against a node that can open no connection to a replica."""
        self.assertTrue(self.limit.may_accept(0, 2_900))
        self.assertFalse(self.limit.may_accept(0, 2_925))


class RefusedConnectionTests(NodeTestCase):
    async def test_a_refused_connection_is_closed_unread(self):
        """Guards against a request that is read and gets no answer."""
        await self.start_ready()
        limit = self.node._caller_server._accept_limit
        limit._max_connections = 0
        with self.assertRaises(aiohttp.ClientError):
            # The client library repeats an idempotent request by itself.
            await self.fetch("POST", "/w/x")
        self.assertEqual(self.run_count(self.plain), 0)
        self.assertEqual(limit.refused, 1)
        limit._max_connections = 10
        status, _, _ = await self.fetch("GET", "/r/x")
        self.assertEqual(status, 200)

    async def test_the_lag_is_measured_at_new_connections(self):
        await self.start_ready()
        await self.fetch("GET", "/r/x")
        await asyncio.sleep(0)
        self.assertGreater(self.node._caller_server._accept_limit._measured_ms, 0)


class CrowdedNodeTests(FleetTestCase):
    """All callers open their first connection at one node, which lags."""

    node_count = 2

    async def test_next_tries_are_served_by_other_nodes_and_nothing_runs_twice(self):
        """Guards against requests that a crowded node reads and answers late."""
        await self.start_nodes()
        server = self.node._caller_server
        server._loads = lambda: _SKEWED
        with mock.patch.object(AcceptLimit, "is_lagging", return_value=True):
            for _ in range(20):
                with self.assertRaises(aiohttp.ClientError):
                    await self.fetch("POST", "/w/x")
                status, _, _ = await self.fetch("POST", "/w/x", node=self.nodes[1])
                self.assertEqual(status, 200)
        self.assertEqual(self.run_count(self.plain), 20)
        status, _, _ = await self.fetch("POST", "/w/x")
        self.assertEqual(status, 200)
