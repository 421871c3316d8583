"""The table of nodes is polled at its usual pace, and without delay on request."""

import asyncio
import types
import unittest
from unittest import mock

from fireflyward.aggregators import Aggregators
from fireflyward.clock import ManualClock
from fireflyward.feeds import Changes, Snapshot, TableRow
from fireflyward.fleet._joining import Joining
from fireflyward.fleet._peers import NodeRegistry
from fireflyward.peers import Envelope, PeerCodec, PeerLink
from tests.positions import at

_ENVELOPE = Envelope(sender="n1", incarnation=1, sequence=1, kind="k", body=b"b")


class _Tables:
    """A source of tables that responds at once and counts the calls."""

    def __init__(self):
        self.call_count = 0
        self.next_rows = ()

    def caching_listener(self, table, on_update, *, max_age_ms=None):
        return on_update

    async def rows(self, table, *, part="", limit_ms=1_000):
        self.call_count += 1
        return Snapshot(self.next_rows, at(1))

    async def changes(self, table, *, after, wait_ms, limit_ms):
        self.call_count += 1
        return Changes(self.next_rows, after)


class _Registry(NodeRegistry):
    """A registry that writes nothing."""

    async def write_missing(self, now_ms):
        pass


class JoiningTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock, self.tables, self.updates = ManualClock(0), _Tables(), []
        self.links = []
        settings = types.SimpleNamespace(
            node="n1",
            failure_domain="a",
            link_mbps=100,
            peer_ports=(0, 0),
            ip="127.0.0.1",
        )
        self.joining = Joining(
            settings,
            clock=self.clock,
            registry=_Registry(None, "n1"),
            tables=self.tables,
            aggregators=Aggregators("n1", "a", link_mbps=100),
            on_nodes=lambda names: None,
            on_rows=self.updates.append,
            on_link=self.on_link,
        )
        self.running = asyncio.create_task(self.joining.run())
        await self.clock.advance_ms(0)

    def on_link(self, link):
        self.links.append(link)
        return lambda: None

    async def asyncTearDown(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        if self.joining.link is not None:
            await self.joining.link.stop()

    async def test_a_requested_poll_skips_the_pause(self):
        """Guards against an isolated node at which a request crashes several replicas.

        The node had no connection to its peers. It had observed a crash itself, but
        read only seconds later what its peers had written about the same request.
        """
        before = self.tables.call_count
        await self.clock.advance_ms(10)
        self.assertEqual(self.tables.call_count, before)
        self.joining.poll_soon()
        await self.clock.advance_ms(10)
        self.assertEqual(self.tables.call_count, before + 1)

    async def test_a_requested_poll_happens_once(self):
        self.joining.poll_soon()
        await self.clock.advance_ms(10)
        before = self.tables.call_count
        await self.clock.advance_ms(10)
        self.assertEqual(self.tables.call_count, before)

    async def test_other_rows_of_the_table_are_forwarded(self):
        row = TableRow("suspect/a", b"{}", at(5))
        self.tables.next_rows = (row,)
        self.joining.poll_soon()
        await self.clock.advance_ms(10)
        self.assertEqual(self.updates[-1].rows, (row,))

    async def read_key(self, key, version):
        self.tables.next_rows = (TableRow("key", key, at(version)),)
        self.joining.poll_soon()
        for _ in range(5):
            await asyncio.sleep(0.01)
            await self.clock.advance_ms(10)

    async def test_a_key_that_replaced_another_seals_messages(self):
        """Guards against messages that no other node accepts after a restore."""
        for version, key in enumerate((b"o" * 32, b"n" * 32), start=5):
            await self.read_key(key, version)
            sealed = self.joining._codec.seal(_ENVELOPE)
            self.assertIsNotNone(PeerCodec((key,)).open(sealed))

    async def test_a_link_whose_port_is_taken_is_opened_later(self):
        """Guards against a node that stays without a link to the others."""
        with mock.patch.object(PeerLink, "start", side_effect=OSError) as start:
            with self.assertLogs("fireflyward.peers", "ERROR") as logs:
                await self.read_key(b"k" * 32, 5)
                await self.clock.advance_ms(1_000)
        self.assertGreater(start.call_count, 2)
        self.assertEqual(len(logs.output), 1)
        self.assertIsNone(self.joining.link)
        self.assertFalse(self.running.done())
        await self.clock.advance_ms(500)
        for _ in range(200):
            await asyncio.sleep(0.01)
            if self.joining.link is not None:
                break
        self.assertIsNotNone(self.joining.link)
        self.assertEqual(len(self.links), 1)
