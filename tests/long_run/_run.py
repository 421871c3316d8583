"""Sends load to node processes while faults are injected."""

import asyncio
import random
import signal
import tempfile
from collections import Counter
from pathlib import Path

from fireflyward.checker import (
    BundleAccepted,
    Checker,
    NodeLost,
    ReachabilityChanged,
    StopStarted,
)
from fireflyward.clock import Clock
from fireflyward.demo import DemoDeployment
from fireflyward.load import LoadPlan, LoadRun, RequestMode, draw_requests
from fireflyward.standins import EngineCosts

from ._nodes import NodeProcess

_NODES = 4
_KEYS = {"bridge-team": "key-bridge", "tower-team": "key-tower"}
_COSTS = EngineCosts(prefill_ms_per_token=0.02, decode_ms_per_token=2.0)
_EVENT_INTERVAL_S = (1.0, 2.5)
_PAUSE_DURATION_S = 4.0
_OUTAGE_S = 3.0
_AFTER_STOP_S = 0.5
_SAMPLE_INTERVAL_S = 1.0


class LongRun:
    """Runs stand-ins and nodes and injects events; ``run`` returns the figures.

    The first node is paused but never killed, so that its memory can be measured from
    the start of the run to its end.
    """

    def __init__(self, *, seconds: float, seed: int, callers: int) -> None:
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._clock = Clock()
        self._checker = Checker()
        self._plan = LoadPlan(seed, 10_000_000, _KEYS)
        self._callers = callers
        self._nodes: list[NodeProcess] = []
        self._count_by_event: Counter[str] = Counter()
        self._rss_mb: list[float] = []
        self._deployment = DemoDeployment(
            nodes_per_domain=0, engines_per_domain=2, costs=_COSTS, stores=2
        )

    async def run(self) -> dict[str, object]:
        """Run for the given duration and return the figures."""
        with tempfile.TemporaryDirectory() as folder:
            async with self._deployment:
                self._checker.observe(BundleAccepted(self._clock.now_ms(), 1, "1"))
                try:
                    return await self._run(Path(folder))
                finally:
                    for node in self._nodes:
                        await node.close()

    async def _run(self, folder: Path) -> dict[str, object]:
        for index in range(_NODES):
            log = folder / f"{index}.log"
            self._nodes.append(NodeProcess(self._deployment, index, log))
        for node in self._nodes:
            node.peers = [peer for peer in self._nodes if peer is not node]
            await node.start()
        urls = [node.url for node in self._nodes]
        load = LoadRun(self._plan, urls, callers=self._callers, checker=self._checker)
        load_task = asyncio.create_task(load.run())
        sampling_task = asyncio.create_task(self._sample_memory())
        try:
            await self._inject_events()
            load.stop()
            report = await load_task
        finally:
            sampling_task.cancel()
            load_task.cancel()
        return self._figures(report)

    def _figures(self, report) -> dict[str, object]:
        bodies = Counter(self._deployment.service.bodies)
        name_by_body = {
            item.text.encode(): item.name
            for _, item in zip(
                range(report.requests), draw_requests(self._plan), strict=False
            )
            if item.mode is RequestMode.CALL
        }
        third_length = max(1, len(self._rss_mb) // 3)
        return {
            "requests": report.requests,
            "answers": report.answers,
            "whole": report.whole,
            "mixed": report.mixed,
            "lost": report.lost,
            "unknown": report.unknown,
            "calls_doubled": sum(count > 1 for count in bodies.values()),
            "calls_run": len(bodies.keys() & name_by_body.keys()),
            "retries": report.retries,
            "ttft_ms": report.ttft_ms,
            "events": dict(self._count_by_event),
            "rss_mb_first_third": round(max(self._rss_mb[:third_length]), 1),
            "rss_mb_last_third": round(max(self._rss_mb[-third_length:]), 1),
            "violations": report.violations,
        }

    async def _sample_memory(self) -> None:
        while True:
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
            self._rss_mb.append(self._nodes[0].rss_mb())

    async def _inject_events(self) -> None:
        events = {
            "kill": self._kill,
            "pause": self._pause,
            "planned stop": self._planned_stop,
            "bundle": self._accept_bundle,
            "table away": self._table_outage,
            "stores slow": self._slow_stores,
            "engine lost": self._engine_outage,
        }
        end_ms = self._clock.now_ms() + self._seconds * 1_000
        while self._clock.now_ms() < end_ms:
            await asyncio.sleep(self._rng.uniform(*_EVENT_INTERVAL_S))
            name = self._rng.choice(sorted(events))
            self._count_by_event[name] += 1
            await events[name]()

    def _pick_node(self, *, may_be_first: bool) -> NodeProcess:
        return self._rng.choice(self._nodes[0 if may_be_first else 1 :])

    def _observe(self, kind, *fields) -> None:
        self._checker.observe(kind(self._clock.now_ms(), *fields))

    async def _kill(self) -> None:
        node = self._pick_node(may_be_first=False)
        self._observe(NodeLost, node.url)
        self._observe(ReachabilityChanged, node.url, False)
        node.send_signal(signal.SIGKILL)
        await node.wait_for_exit()
        await node.start()
        self._observe(ReachabilityChanged, node.url, True)

    async def _pause(self) -> None:
        node = self._pick_node(may_be_first=True)
        self._observe(ReachabilityChanged, node.url, False)
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_DURATION_S)
        node.send_signal(signal.SIGCONT)
        self._observe(ReachabilityChanged, node.url, True)

    async def _planned_stop(self) -> None:
        node = self._pick_node(may_be_first=False)
        self._observe(StopStarted, node.url)
        node.send_signal(signal.SIGTERM)
        code = await node.wait_for_exit()
        self._count_by_event[f"planned stop ended with {code}"] += 1
        await asyncio.sleep(_AFTER_STOP_S)
        self._observe(NodeLost, node.url)
        await node.start()

    async def _accept_bundle(self) -> None:
        number = self._deployment.accepted_number + 1
        await self._deployment.accept(self._deployment.make_bundle(number))
        self._observe(BundleAccepted, number, str(number))

    async def _table_outage(self) -> None:
        platform = self._deployment.platform
        for node in self._nodes:
            self._observe(ReachabilityChanged, node.url, False)
        platform.table.unavailable = platform.objects.unavailable = True
        await asyncio.sleep(_OUTAGE_S)
        platform.table.unavailable = platform.objects.unavailable = False
        for node in self._nodes:
            self._observe(ReachabilityChanged, node.url, True)

    async def _slow_stores(self) -> None:
        faults = [server.model.faults for server in self._stores()]
        for fault in faults:
            fault.delay_ms = 400.0
        await asyncio.sleep(_OUTAGE_S)
        for fault in faults:
            fault.delay_ms = 0.0

    def _stores(self) -> list:
        return list(self._deployment.store_by_name.values())

    async def _engine_outage(self) -> None:
        engines = self._deployment.engine_by_name
        server = engines[self._rng.choice(sorted(engines))]
        await server.stop()
        await asyncio.sleep(_OUTAGE_S)
        await server.start()
