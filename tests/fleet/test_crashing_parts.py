"""Requests with one part in their prompts, each of which crashes its replica."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp

from fireflyward.fleet._peers import NODE_TABLE
from fireflyward.platform import PromptPart
from fireflyward.poison import part_keys
from tests.platform_standins import ReplicaStandIn

from .node_fixtures import KEY, FleetTestCase

_ENGINES = 9
_EVENTS = 6
_BACK_AFTER_S = 2.5
# What the users allow: so many requests later than this after the fifth crash.
_ALLOWED_AFTER = 3
_CONTACT_S = 3.0
_CRASHES = 5
_MIN_RELATIVE_SHARE = 0.5
_PERIOD_S = 0.06
_WARM_UP_S = 1.5
_MEASURED_S = 2.5
_LIMIT_S = 25.0


@dataclass
class _Try:
    sent_s: float
    crashing_part: str
    status: int | None = None


class CrashingPartTestCase(FleetTestCase):
    """Three nodes, and nine engines that are back some time after each crash."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for engine in self.engines:
            self.store.remove("servers", engine.incarnation)
            await engine.stop()
        self.parts = {"bad"}
        self.engines = []
        for number in range(_ENGINES):
            self.engines.append(await self.start_engine(f"e-{number}"))
        self.list_replicas()
        self.crash_times_s = []
        self.arrivals_s = []
        self.tries = []
        self.restarts = set()

    async def start_engine(self, name):
        engine = ReplicaStandIn(name, model="m", events=_EVENTS, pause_s=0.01)
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        execute, crash = engine._execute, engine.crash

        async def record(request, writer):
            prefix = request.headers.get("x-prompt-prefix", "")
            for part in self.parts:
                if f"{part}:" in prefix:
                    self.arrivals_s.append((time.monotonic(), part))
                    engine.crashing_part = part
                    break
            return await execute(request, writer)

        def crash_once():
            if len(engine._writers) and engine not in self.restarts:
                self.restarts.add(engine)
                self.crash_times_s.append((time.monotonic(), engine.crashing_part))
                asyncio.get_running_loop().create_task(self.bring_back(engine))
            crash()

        engine._execute, engine.crash = record, crash_once
        return engine

    async def bring_back(self, engine):
        await asyncio.sleep(_BACK_AFTER_S)
        self.store.remove("servers", engine.incarnation)
        fresh = await self.start_engine(f"{engine.incarnation}-again")
        self.engines[self.engines.index(engine)] = fresh
        self.store.put("servers", fresh.incarnation, fresh.entry("engines"))

    async def start_nodes(self):
        self.operator.configure()
        await self.start_node(self.node, "entry-1")
        for number in range(2, self.node_count + 1):
            await self.start_additional_node(f"entry-{number}")
        await self.until(lambda: all(self.is_joined(node) for node in self.nodes))

    def is_joined(self, node):
        others = len(node._aggregators.all_addresses())
        listed = len(node._directory.of_service("engines")) >= _ENGINES - 2
        return node.is_ready and listed and others == len(self.nodes) - 1

    async def send(self, number, bad=""):
        """Send a request whose own part, body and id are new."""
        middle = f"{bad}:300," if bad else ""
        prefix = f"common:300,{middle}session{number % 7}:200,own{number}:100"
        headers = {
            **KEY,
            "X-Model": "m",
            "X-Token-Usage": "900,6",
            "X-Prompt-Prefix": prefix,
            "X-Deadline-Ms": "3000",
        }
        sent = _Try(time.monotonic(), bad)
        self.tries.append(sent)
        node = self.nodes[(number + number // 3) % len(self.nodes)]
        try:
            status, _, _ = await self.fetch(
                "POST", "/s/x", headers=headers, node=node, data=b"%d" % number
            )
            sent.status = status
        except aiohttp.ClientError:
            pass

    async def send_until(self, end, bad=()):
        """Send requests at a steady rate; one in three has one of the bad parts."""
        async with asyncio.TaskGroup() as group:
            number, limit_s = len(self.tries), time.monotonic() + _LIMIT_S
            while not end() and time.monotonic() < limit_s:
                is_bad = bad and number % 3 == 0
                part = bad[number // 3 % len(bad)] if is_bad else ""
                group.create_task(self.send(number, part))
                number += 1
                await asyncio.sleep(_PERIOD_S)

    def fifth_crash_s(self, part="bad"):
        times_s = [at_s for at_s, by in self.crash_times_s if by == part]
        if len(times_s) >= _CRASHES:
            return times_s[_CRASHES - 1]
        return times_s[-1] if times_s else None

    def share_served(self, from_s, to_s):
        served = [
            item.status == 200
            for item in self.tries
            if not item.crashing_part and from_s <= item.sent_s < to_s
        ]
        return sum(served) / len(served)

    def check(self, parts=("bad",)):
        begin_s = self.begin_s
        for part in parts:
            fifth_s = self.fifth_crash_s(part)
            late = [
                at_s
                for at_s, by in self.arrivals_s
                if by == part and at_s > fifth_s + _CONTACT_S
            ]
            self.assertLessEqual(len(late), _ALLOWED_AFTER)
        last_s = max(self.fifth_crash_s(part) for part in parts)
        before = self.share_served(0.0, begin_s)
        after = self.share_served(last_s + 2 * _CONTACT_S, float("inf"))
        self.assertGreaterEqual(after, _MIN_RELATIVE_SHARE * before)

    async def play(self, bad=("bad",)):
        """Send sound requests, then bad ones beside them, until all is measured."""
        warm_s = time.monotonic() + _WARM_UP_S
        await self.send_until(lambda: time.monotonic() > warm_s)
        self.begin_s = time.monotonic()

        def is_measured():
            times_s = [self.fifth_crash_s(part) for part in bad]
            if None in times_s:
                return False
            return time.monotonic() > max(times_s) + 2 * _CONTACT_S + _MEASURED_S

        await self.send_until(is_measured, bad)


class CrashingPartTests(CrashingPartTestCase):
    def held_parts(self):
        return [set(node._crashes.poison._held.by_part) for node in self.nodes]

    async def test_a_part_that_crashes_replicas_is_held_back(self):
        """Guards against requests that share a prompt part and crash all replicas."""
        await self.start_nodes()
        await self.play()
        self.check()
        (bad,) = part_keys("engines", "m", [PromptPart("bad", 1), PromptPart("own", 1)])
        self.assertEqual(self.held_parts(), [{bad}] * len(self.nodes))

    async def test_two_parts_that_crash_replicas_are_held_back(self):
        """Guards against the second of two such parts taken for explained."""
        self.parts = {"bad", "worse"}
        await self.start_nodes()
        await self.play(("bad", "worse"))
        self.check(("bad", "worse"))

    async def test_nodes_that_cannot_reach_each_other_hold_it_back(self):
        """Guards against three crashes counted by each node for itself."""
        await self.start_nodes()
        for node in self.nodes:
            node._crashes.poison.use(None)
        await self.play()
        self.check()

    async def test_restarted_nodes_still_hold_it_back(self):
        """Guards against a part that crashes replicas again after a loss of power."""
        await self.start_nodes()
        await self.play()
        await self.until(
            lambda: any(key.startswith("poison/") for key in self.stored_keys())
        )
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self.nodes = []
        for number in range(1, self.node_count + 1):
            await self.start_additional_node(f"entry-{number}")
        self.node = self.nodes[0]
        await self.until(lambda: all(self.is_joined(node) for node in self.nodes))
        before = len(self.arrivals_s)
        for number in range(0, 30, 3):
            await self.send(number, "bad")
            self.assertEqual(self.tries[-1].status, 503)
        self.assertEqual(len(self.arrivals_s), before)

    def stored_keys(self):
        return [key for table, _, key in self.store._rows if table == NODE_TABLE]
