"""Measures the table writes for records of non-idempotent requests, by rate."""

import asyncio
import random

from fireflyward.bench import Bench, Figure
from fireflyward.clock import ManualClock
from fireflyward.outcomes import Answered
from fireflyward.runs import Permit, RequestRecord, RunRecords
from fireflyward.standins import MemoryTable

_COMMIT_MS = 5
_SECONDS = 2
_MS_PER_SECOND = 1_000
# Requests per second at one node when 350, 35, 9 and 1 nodes share 1,200 requests/s.
_RATES = (4, 34, 134, 1_200)


class _SlowTable(MemoryTable):
    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock

    async def commit(self, **options):
        await self._clock.sleep_ms(_COMMIT_MS)
        return await super().commit(**options)


class _Node:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = _SlowTable(self.clock)
        self.records = RunRecords(self.table, self.clock)
        self.claim_ms: list[int] = []

    async def claim_and_settle(self, number: int) -> None:
        """Claim a record and settle it, as a request does."""
        record = RequestRecord(
            self.records,
            account="account",
            request_key=f"key-{number}",
            owner=f"owner-{number}",
            fingerprint="f" * 64,
        )
        started_ms = self.clock.now_ms()
        permit = await record.claim("replica")
        assert isinstance(permit, Permit), permit
        self.claim_ms.append(self.clock.now_ms() - started_ms)
        await record.settle(Answered(), "pass")


async def _run_requests(rate: int) -> _Node:
    node = _Node()
    rng = random.Random(1)
    tasks = []
    for number in range(rate * _SECONDS):
        tasks.append(asyncio.ensure_future(node.claim_and_settle(number)))
        await node.clock.advance_ms(rng.expovariate(rate / _MS_PER_SECOND))
    await node.clock.advance_ms(_MS_PER_SECOND)
    await asyncio.gather(*tasks)
    return node


def _run() -> list[Figure]:
    figures = []
    for rate in _RATES:
        node = asyncio.run(_run_requests(rate))
        requests = rate * _SECONDS
        waited_ms = sorted(node.claim_ms)
        prefix = f"run_records.rate_{rate}"
        figures += [
            Figure(f"{prefix}.commits_per_s", node.table.writes / _SECONDS, "1/s"),
            Figure(f"{prefix}.commits_per_request", node.table.writes / requests, ""),
            Figure(f"{prefix}.claim_p95_ms", waited_ms[int(requests * 0.95)], "ms"),
        ]
    return figures


BENCH = Bench("run_records", _run, is_count=True)
