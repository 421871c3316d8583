"""Measures lost capacity, time and writes of a weight swap at both deployments."""

import asyncio

from fireflyward.bench import Bench, Figure
from fireflyward.clock import ManualClock
from fireflyward.leases import LeaseTask
from fireflyward.rollout import (
    LEASE_NAME,
    ROLLOUT_KEY,
    HealthWatch,
    Plan,
    Rollout,
    RolloutLimits,
    RolloutTask,
    Target,
    decode_row,
)
from fireflyward.standins import MemoryFleet, MemoryTable

_MODEL = "clauses"
_REPLICAS_BY_DEPLOYMENT = {"andinos": 6, "nota_birlik": 5}
_STEP_MS = 50
_LIMIT_MS = 120_000
_MS_PER_SECOND = 1_000


class _Swap:
    """One rollout from v1 to v2, sampled every ``_STEP_MS``."""

    def __init__(self, replicas: int, loads_at_once: int) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.names = [f"engine-{index}" for index in range(replicas)]
        self.fleet = MemoryFleet(self.clock, self.names, {_MODEL: "v1"})
        self.plan = self._plan(1, "v1")
        self.lease = LeaseTask(
            LEASE_NAME, clock=self.clock, table=self.table, holder="entry-1"
        )
        self.task = RolloutTask(
            Rollout(RolloutLimits(loads_at_once=loads_at_once)),
            clock=self.clock,
            table=self.table,
            lease=self.lease,
            engine_by_name=self.fleet.engine_by_name,
            plan=lambda: self.plan,
            watch=HealthWatch(),
        )
        self.lost_replica_time_ms = 0
        self.min_serving = replicas

    def _plan(self, number: int, version: str) -> Plan:
        target = Target({_MODEL: version}, honours_fencing=True)
        targets = dict.fromkeys(self.names, target)
        return Plan(number, targets, {_MODEL: (version,)})

    def _row_version(self) -> int:
        return self.table.row_by_key[ROLLOUT_KEY].version

    def _is_done(self, number: int) -> bool:
        row = self.table.row_by_key.get(ROLLOUT_KEY)
        if row is None:
            return False
        value = decode_row(row.value)
        return value.phase == "done" and value.bundle_number == number

    async def _run_to(self, number: int) -> int:
        started_ms = self.clock.now_ms()
        while not self._is_done(number):
            assert self.clock.now_ms() - started_ms < _LIMIT_MS, (
                "the rollout did not finish within the limit"
            )
            await self.lease.step()
            await self.task.step()
            await self.clock.advance_ms(_STEP_MS)
            serving = self.fleet.count_serving(self.clock.now_ms(), _MODEL)
            self.min_serving = min(self.min_serving, serving)
            self.lost_replica_time_ms += (len(self.names) - serving) * _STEP_MS
        return self.clock.now_ms() - started_ms

    async def run(self, name: str) -> list[Figure]:
        await self._run_to(1)
        writes = self._row_version()
        self.plan = self._plan(2, "v2")
        duration_ms = await self._run_to(2)
        lost_share = self.lost_replica_time_ms / (duration_ms * len(self.names))
        writes = self._row_version() - writes
        return [
            Figure(f"{name}.duration_s", duration_ms / _MS_PER_SECOND, "s"),
            Figure(f"{name}.least_serving", self.min_serving, "replicas"),
            Figure(f"{name}.lost_capacity", lost_share, "share"),
            Figure(f"{name}.lost_replica_s", self.lost_replica_time_ms / 1_000, "s"),
            Figure(f"{name}.table_writes", writes, "writes"),
        ]


def run() -> list[Figure]:
    """Swap weights at both deployments, with one and with two concurrent loads."""
    figures = []
    for deployment, replicas in _REPLICAS_BY_DEPLOYMENT.items():
        for loads in (1, 2):
            name = f"rollout_swap.{deployment}.loads_{loads}"
            figures += asyncio.run(_Swap(replicas, loads).run(name))
    return figures


BENCH = Bench("rollout_swap", run, is_count=True)
