"""Measures the table calls and takeover time of a lease, by number of nodes."""

import asyncio

from fireflyward.bench import Bench, Figure
from fireflyward.clock import ManualClock
from fireflyward.leases import LeaseTask, contenders
from fireflyward.standins import MemoryTable

_NODES = (9, 35, 350)
_LEASE = "rollout"
_STEP_MS = 3_000
_MEASURED_S = 240
_MS_PER_SECOND = 1_000


async def _measure(nodes: int) -> list[Figure]:
    clock, table = ManualClock(), MemoryTable()
    names = [f"entry-{index}" for index in range(nodes)]
    leases = [_make(name, names, clock, table) for name in names]
    for _ in range(_MEASURED_S * _MS_PER_SECOND // _STEP_MS):
        for lease in leases:
            await lease.step()
        await clock.advance_ms(_STEP_MS)
    name = f"lease_table.nodes_{nodes}"
    takeover_ms = await _takeover_ms(leases, clock)
    return [
        Figure(f"{name}.reads_per_s", table.reads / _MEASURED_S, "/s"),
        Figure(f"{name}.writes_per_s", table.writes / _MEASURED_S, "/s"),
        Figure(f"{name}.takeover_ms", takeover_ms, "ms"),
    ]


def _make(
    name: str, names: list[str], clock: ManualClock, table: MemoryTable
) -> LeaseTask:
    chosen = contenders(_LEASE, names)
    return LeaseTask(
        _LEASE,
        clock=clock,
        table=table,
        holder=name,
        contends=lambda: name in chosen,
    )


async def _takeover_ms(leases: list[LeaseTask], clock: ManualClock) -> int:
    """Let the holder crash, and return how long no node holds the lease."""
    others = [lease for lease in leases if lease.claim() is None]
    stopped_ms = clock.now_ms()
    while all(lease.claim() is None for lease in others):
        for lease in others:
            await lease.step()
        await clock.advance_ms(_STEP_MS)
    return clock.now_ms() - _STEP_MS - stopped_ms


def run() -> list[Figure]:
    """Hold a lease for four minutes at each size, then let its holder crash."""
    figures = []
    for nodes in _NODES:
        figures += asyncio.run(_measure(nodes))
    return figures


BENCH = Bench("lease_table", run, is_count=True)
