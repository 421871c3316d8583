"""A load run: many concurrent callers that send the requests of one plan."""

import asyncio
from collections import Counter
from collections.abc import Sequence

import aiohttp

from fireflyward.checker import AttemptStatus, Checker
from fireflyward.clock import Clock

from ._caller import LoadCaller
from ._plan import LoadPlan, draw_requests
from ._report import LoadReport, make_report

_MS_PER_SECOND = 1_000
_TIME_LIMIT_MS = 60_000


class LoadRun:
    """Sends the requests of a plan with ``callers`` at once.

    ``urls`` may be changed during the run; callers read it for each attempt. After
    ``stop`` the callers finish their requests in flight and start no others.
    """

    def __init__(
        self,
        plan: LoadPlan,
        urls: Sequence[str],
        *,
        callers: int = 16,
        time_limit_ms: int = _TIME_LIMIT_MS,
        checker: Checker | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.checker = checker or Checker(observes_platform=False)
        self.count_by_status: Counter[AttemptStatus | None] = Counter()
        self._plan = plan
        self._urls = urls
        self._callers = callers
        self._time_limit_ms = time_limit_ms
        self._clock = clock or Clock()
        self._is_stopping = False

    def stop(self) -> None:
        """Start no more requests."""
        self._is_stopping = True

    async def run(self) -> LoadReport:
        """Send all requests, and return the report."""
        started_ms = self._clock.now_ms()
        pending = enumerate(draw_requests(self._plan))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            caller = LoadCaller(
                session,
                self._urls,
                self._plan,
                self.checker,
                self._clock,
                self._time_limit_ms,
            )
            workers = (self._work(caller, pending) for _ in range(self._callers))
            await asyncio.gather(*workers)
        now_ms = self._clock.now_ms()
        return make_report(
            requests=self.count_by_status.total(),
            answers=self.count_by_status[AttemptStatus.ANSWERED],
            unknown=self.count_by_status[AttemptStatus.UNKNOWN],
            retries=caller.retries,
            seconds=(now_ms - started_ms) / _MS_PER_SECOND,
            first_token_ms=caller.first_token_ms,
            violations=self.checker.finish(now_ms),
        )

    async def _work(self, caller: LoadCaller, pending: enumerate) -> None:
        for start_index, request in pending:
            if self._is_stopping:
                return
            self.count_by_status[
                await caller.send_until_final(request, start_index)
            ] += 1
