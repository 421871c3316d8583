"""How the table of nodes is read: in its pace, and without delay when wanted."""

import asyncio
import types
import unittest

from fireflyward.aggregators import Aggregators
from fireflyward.clock import ManualClock
from fireflyward.feeds import Changes, Snapshot, TableRow
from fireflyward.fleet._joining import Joining
from fireflyward.fleet._peers import NodeRegistry
from fireflyward.peers import Envelope, PeerCodec
from tests.positions import at

_ENVELOPE = Envelope(sender="n1", incarnation=1, sequence=1, kind="k", body=b"b")


class _Tables:
    """Answers at once, and counts what it is asked."""

    def __init__(self):
        self.asked = 0
        self.rows_to_tell = ()

    def kept(self, table, on_news, *, old_ms=None):
        return on_news

    async def rows(self, table, *, part="", limit_ms=1_000):
        self.asked += 1
        return Snapshot(self.rows_to_tell, at(1))

    async def changes(self, table, *, after, wait_ms, limit_ms):
        self.asked += 1
        return Changes(self.rows_to_tell, after)


class _Register(NodeRegistry):
    """Writes nothing."""

    async def write_missing(self, now_ms):
        pass


class JoiningTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock, self.tables, self.heard = ManualClock(0), _Tables(), []
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
            register=_Register(None, "n1"),
            tables=self.tables,
            aggregators=Aggregators("n1", "a", link_mbps=100),
            on_nodes=lambda names: None,
            on_rows=self.heard.append,
            on_link=lambda link: lambda: None,
        )
        self.running = asyncio.create_task(self.joining.run())
        await self.clock.advance_ms(0)

    async def asyncTearDown(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        if self.joining.link is not None:
            await self.joining.link.stop()

    async def test_a_look_that_is_wanted_soon_waits_for_no_pause(self):
        """Symptom: a node that is cut off from its peers ends replica after replica.

        It read what they had written seconds after it had seen an end itself.
        """
        before = self.tables.asked
        await self.clock.advance_ms(10)
        self.assertEqual(self.tables.asked, before)
        self.joining.poll_soon()
        await self.clock.advance_ms(10)
        self.assertEqual(self.tables.asked, before + 1)

    async def test_one_look_is_one(self):
        self.joining.poll_soon()
        await self.clock.advance_ms(10)
        before = self.tables.asked
        await self.clock.advance_ms(10)
        self.assertEqual(self.tables.asked, before)

    async def test_other_rows_of_the_table_are_passed_on(self):
        row = TableRow("suspect/a", b"{}", at(5))
        self.tables.rows_to_tell = (row,)
        self.joining.poll_soon()
        await self.clock.advance_ms(10)
        self.assertEqual(self.heard[-1].rows, (row,))

    async def read_key(self, key, version):
        self.tables.rows_to_tell = (TableRow("key", key, at(version)),)
        self.joining.poll_soon()
        for _ in range(5):
            await asyncio.sleep(0.01)
            await self.clock.advance_ms(10)

    async def test_a_key_that_replaced_another_is_spoken_with(self):
        """Guards against a node that is heard by nobody after a drill."""
        for version, key in enumerate((b"o" * 32, b"n" * 32), start=5):
            await self.read_key(key, version)
            sealed = self.joining._codec.seal(_ENVELOPE)
            self.assertIsNotNone(PeerCodec((key,)).open(sealed))
