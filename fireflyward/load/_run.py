"""Many callers at once over one plan."""

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
_PATIENCE_MS = 60_000


class LoadRun:
    """Works a plan off with ``callers`` at once.

    ``urls`` may be changed while it runs; callers look at it for each attempt.
    ``stop`` ends the drawing of requests, and those under way run to their end.
    """

    def __init__(
        self,
        plan: LoadPlan,
        urls: Sequence[str],
        *,
        callers: int = 16,
        patience_ms: int = _PATIENCE_MS,
        checker: Checker | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.checker = checker or Checker(observes_platform=False)
        self.count_by_ending: Counter[AttemptStatus | None] = Counter()
        self._plan = plan
        self._urls = urls
        self._callers = callers
        self._patience_ms = patience_ms
        self._clock = clock or Clock()
        self._is_stopping = False

    def stop(self) -> None:
        """Draw no more requests."""
        self._is_stopping = True

    async def run(self) -> LoadReport:
        """Ask everything, and return the figures."""
        begun_ms = self._clock.now_ms()
        pending = enumerate(draw_requests(self._plan))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            caller = LoadCaller(
                session,
                self._urls,
                self._plan,
                self.checker,
                self._clock,
                self._patience_ms,
            )
            workers = (self._work(caller, pending) for _ in range(self._callers))
            await asyncio.gather(*workers)
        now_ms = self._clock.now_ms()
        return make_report(
            requests=self.count_by_ending.total(),
            answers=self.count_by_ending[AttemptStatus.ANSWERED],
            unknown=self.count_by_ending[AttemptStatus.UNKNOWN],
            retries=caller.retries,
            seconds=(now_ms - begun_ms) / _MS_PER_SECOND,
            first_token_ms=caller.first_token_ms,
            violations=self.checker.finish(now_ms),
        )

    async def _work(self, caller: LoadCaller, pending: enumerate) -> None:
        for turn, request in pending:
            if self._is_stopping:
                return
            self.count_by_ending[await caller.ask(request, turn)] += 1
