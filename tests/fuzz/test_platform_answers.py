"""Arbitrary bytes from the platform must not stop a process or a task."""

import asyncio
import unittest

from hypothesis import given, strategies as st

from fireflyward.backing import Committed, Conflict, Unavailable, Uncertain
from fireflyward.clock import Clock, Standstills
from fireflyward.deployment import Configuration, Evacuation, ReplicaEntry, WeightTarget
from fireflyward.feeds import Changes, HistoryLost, Snapshot, TableRow, TableUpdate
from fireflyward.fleet._peers import NodeRegistry
from fireflyward.fleet._views import OperatorView, ReplicaView
from fireflyward.forwarding import WeightVersions
from fireflyward.http1 import ConnectionPool
from fireflyward.peers import pack
from fireflyward.platform import (
    ReplicaApi,
    ReplicaReport,
    StoreClient,
    decode_configuration,
    decode_evacuation,
    decode_replica,
    decode_weight_target,
)
from fireflyward.prefixes import KvUpdate
from fireflyward.quarantine import Free, Held, OnTrial, Suspects
from fireflyward.quarantine._quarantine_structs import ClearNews
from fireflyward.quarantine._rows import SuspectRows
from fireflyward.replicas import ReplicaDirectory
from fireflyward.routes import RouteTable
from tests.fuzz.profiles import fuzz
from tests.platform_standins._http import RawServer, response
from tests.positions import at

names = st.sampled_from(
    "rows ver key value boot-epoch next events held models busy sequence born "
    "service address state version name routes services limits tenants".split()
)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(names, inner, max_size=5)
    ),
    max_leaves=12,
)


@st.composite
def bodies(draw):
    import json

    if draw(st.booleans()):
        return draw(st.binary(max_size=60))
    return json.dumps(draw(values)).encode()


@st.composite
def suspect_bodies(draw):
    import json

    ends = draw(st.lists(st.integers(), max_size=4))
    return json.dumps({"ends": ends, "trials": draw(st.integers())}).encode()


class _FixedResponder(RawServer):
    status, body = 200, b""

    async def answer(self, request, writer):
        writer.write(response(self.status, self.body))
        return True


class AnswerTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.server = _FixedResponder()
        cls.address = cls.runner.run(cls.server.start())
        cls.store = StoreClient(cls.address, clock=Clock())
        cls.api = ReplicaApi(ConnectionPool(Clock()), clock=Clock())

    @classmethod
    def tearDownClass(cls):
        cls.store.close()
        cls.runner.run(cls.server.stop())
        cls.runner.close()

    def exchange(self, call, status, body):
        self.server.status, self.server.body = status, body
        return self.runner.run(call)

    @fuzz(40)
    @given(st.sampled_from((200, 410, 412, 503)), bodies())
    def test_every_store_answer_gives_a_result(self, status, body):
        store = self.store
        result = self.exchange(store.rows("t"), status, body)
        self.assertIsInstance(result, Snapshot | Unavailable | HistoryLost)
        call = store.changes("t", after=at(1), wait_ms=0, limit_ms=500)
        result = self.exchange(call, status, body)
        self.assertIsInstance(result, Changes | Unavailable | HistoryLost)
        call = store.write(table="t", part="", expected={"k": at(0)}, puts={"k": b"v"})
        result = self.exchange(call, status, body)
        self.assertIsInstance(result, Committed | Conflict | Unavailable | Uncertain)

    @fuzz(40)
    @given(st.sampled_from((200, 429, 503)), bodies())
    def test_every_replica_or_kv_store_answer_gives_a_result(self, status, body):
        """Guards against nodes that exit, and exit again a second after each start.

        A KV store sent an unexpected answer, and in each node the task that follows
        the store failed.
        """
        api, address = self.api, self.address
        result = self.exchange(api.report(address, "i", limit_ms=500), status, body)
        self.assertIsInstance(result, ReplicaReport | None)
        call = api.kv_events(address, since=0, wait_ms=0, limit_ms=500)
        self.assertIsInstance(self.exchange(call, status, body), KvUpdate | None)
        call = api.kv_list(address, limit_ms=500)
        self.assertIsInstance(self.exchange(call, status, body), KvUpdate | None)


class RowTests(unittest.TestCase):
    @fuzz(150)
    @given(bodies())
    def test_every_row_decodes_to_a_value_or_none(self, value):
        self.assertIsInstance(decode_replica("i", value), ReplicaEntry | None)
        self.assertIsInstance(decode_weight_target(value), WeightTarget | None)
        self.assertIsInstance(decode_configuration(value), Configuration | None)
        self.assertIsInstance(decode_evacuation("a", value), Evacuation | None)

    @fuzz(60)
    @given(st.lists(st.tuples(names, bodies()), max_size=4), st.booleans())
    def test_table_views_accept_any_rows(self, rows, is_full):
        update = TableUpdate(
            tuple(
                TableRow(f"{prefix}{key}", value, at(number))
                for number, (key, value) in enumerate(rows)
                for prefix in ("", "node/", "version/", "evacuate/")
            ),
            is_full,
            0,
        )
        clock = Clock()
        directory = ReplicaDirectory()
        routes = RouteTable(revoke_ms=5_000, fails_closed=True)
        ReplicaView(
            clock=clock,
            directory=directory,
            pool=ConnectionPool(clock),
            heartbeat_ms=1_200,
            on_removed=lambda state: None,
        ).on_table_update(update)
        OperatorView(
            clock=clock,
            routes=routes,
            weights=WeightVersions(version_ms=12_000),
            directory=directory,
            failure_domains=("a",),
            on_configuration=lambda configuration: None,
            standstills=Standstills(clock=clock),
        ).on_table_update(update)
        NodeRegistry(None, "n").on_table_update(update)

    @fuzz(150)
    @given(bodies() | suspect_bodies())
    def test_any_suspect_row_gives_a_verdict_and_a_packable_message(self, value):
        """Guards against an internal error for each answered request.

        A row of another writer contained an incarnation id that no replica can have,
        and the message that the suspect is cleared could not be packed.
        """
        suspects, clock = Suspects(), Clock()
        rows = SuspectRows(suspects, store=None, table="t", node="n", clock=clock)
        rows_of_suspect = (
            TableRow("suspect/a", value, at(1)),
            TableRow("trial", value, at(1)),
        )
        rows.on_table_update(TableUpdate(rows_of_suspect, False, 0, position=at(1)))
        verdict = suspects.verdict(clock.now_ms(), "a")
        self.assertIsInstance(verdict, Free | Held | OnTrial)
        if suspects.crashes_of("a"):
            self.assertGreaterEqual(suspects.row_of("a", trials=-1).trials, 0)
        incarnation_ids = sorted(suspects.clear("a"))
        self.assertTrue(pack(ClearNews(fingerprint="a", starts=incarnation_ids)))
