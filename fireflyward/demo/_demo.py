"""``fireflyward demo``: recurring prompts, the stop of an engine and a node, costs."""

import asyncio
from collections import Counter

import aiohttp
import msgspec

from fireflyward.checker import AttemptStatus, Checker
from fireflyward.clock import Clock
from fireflyward.load import LoadCaller, LoadPlan, LoadRequest, RequestMode, make_report
from fireflyward.standins import EngineCosts
from fireflyward.upstreams import BLOCK_TOKENS, count_tokens

from ._deployment import KEY_BY_ACCOUNT, DemoDeployment

_CLAUSE = "Seismic clause 8.{}: connections shall be detailed as the code requires. "
_CLAUSES_PER_PROMPT = 130
_QUESTIONS_PER_ACCOUNT = 4
_MAX_TOKENS = 40
_TIME_LIMIT_MS = 15_000
_EXPORT_TIME_LIMIT_MS = 6_000
_STOP_DELAY_MS = 80
_POLL_MS = 50
_PAUSE_BETWEEN_DAYS_MS = 2_500
_BYTES_PER_MB = 1e6
_COSTS = EngineCosts(prefill_ms_per_token=0.3)


class DemoReport(msgspec.Struct):
    """The results of the demo, written as a JSON object.

    ``whole`` counts answers that are correct to the last byte, ``lost`` requests
    without an answer, ``doubled`` repeated calls of the service and ``mixed`` wrong
    or foreign answers. ``link_bytes`` were transferred over the stores' links.
    """

    answers: int
    whole: int
    lost: int
    doubled: int
    mixed: int
    recomputed_share: float
    ttft_ms: dict[str, float]
    link_bytes: int
    bundle: int

    @property
    def is_clean(self) -> bool:
        """Return whether nothing was lost, doubled or mixed."""
        all_complete = self.whole == self.answers
        return all_complete and not self.lost + self.doubled + self.mixed


class _DemoRun:
    """Sends requests through the caller of the load tool, which checks all answers."""

    def __init__(
        self, deployment: DemoDeployment, session: aiohttp.ClientSession
    ) -> None:
        self._deployment = deployment
        self._clock = Clock()
        self._checker = Checker(observes_platform=False)
        self._count_by_status: Counter[AttemptStatus | None] = Counter()
        self._plan = LoadPlan(0, 0, KEY_BY_ACCOUNT)
        self._caller = LoadCaller(
            session,
            deployment.urls,
            self._plan,
            self._checker,
            self._clock,
            _TIME_LIMIT_MS,
        )
        self._tokens_before = (0, 0)

    async def run_round(self, title: str) -> None:
        """Send the questions of all client accounts, and print outcomes and costs.

        The title is part of the prompts and of the idempotency keys.
        """
        print(f"\n{title}")
        requests = _requests(title)
        statuses = await asyncio.gather(
            *(
                self._caller.send_until_final(request, start_index)
                for start_index, request in enumerate(requests)
            )
        )
        for request, status in zip(requests, statuses, strict=True):
            self._count_by_status[status] += 1
            outcome = status.value if status else "lost"
            print(f"  {request.account:<12} {request.mode:<7} {outcome}")
        computed, cached = self._tokens()
        computed_before, cached_before = self._tokens_before
        self._tokens_before = computed, cached
        print(
            f"  prompt tokens computed {computed - computed_before}, "
            f"reused {cached - cached_before}; transferred over the store's links "
            f"so far: {self._deployment.link_bytes / _BYTES_PER_MB:.0f} MB"
        )

    async def wait_until_exported(self) -> None:
        """Wait until the store has the prompts' shared blocks, or the limit passes."""
        end_ms = self._clock.now_ms() + _EXPORT_TIME_LIMIT_MS
        expected_blocks = _CLAUSES_PER_PROMPT * count_tokens(_CLAUSE) // BLOCK_TOKENS
        while self._clock.now_ms() < end_ms:
            if self._deployment.stored_blocks >= expected_blocks * len(KEY_BY_ACCOUNT):
                break
            await self._clock.sleep_ms(_POLL_MS)
        print(f"  the store keeps {self._deployment.stored_blocks} blocks")

    def report(self) -> DemoReport:
        """Combine the counts of the callers, the engines and the service."""
        load = make_report(
            requests=self._count_by_status.total(),
            answers=self._count_by_status[AttemptStatus.ANSWERED],
            unknown=self._count_by_status[AttemptStatus.UNKNOWN],
            retries=self._caller.retries,
            seconds=0.0,
            first_token_ms=self._caller.first_token_ms,
            violations=self._checker.finish(self._clock.now_ms()),
        )
        for violation in load.violations:
            print(f"  broken: {violation}")
        computed, cached = self._tokens()
        call_counts = Counter(self._deployment.service.bodies).values()
        return DemoReport(
            answers=load.requests,
            whole=load.whole,
            lost=load.requests - load.answers,
            doubled=sum(count - 1 for count in call_counts),
            mixed=load.mixed,
            recomputed_share=round(computed / max(1, computed + cached), 4),
            ttft_ms={name: load.ttft_ms[name] for name in ("p50", "p95")},
            link_bytes=self._deployment.link_bytes,
            bundle=self._deployment.bundle_number,
        )

    def _tokens(self) -> tuple[int, int]:
        models = [server.model for server in self._deployment.engine_by_name.values()]
        computed = sum(model.computed_tokens for model in models)
        return computed, sum(model.cached_tokens for model in models)


async def run_demo(*, as_json: bool) -> bool:
    """Run the demo; return whether nothing was lost, doubled or mixed."""
    async with (
        DemoDeployment(stores=1, costs=_COSTS) as deployment,
        aiohttp.ClientSession() as session,
    ):
        nodes = ", ".join(deployment.node_by_name)
        print(f"bundle {deployment.bundle_number}, signed by ana and bruno, in force")
        print(f"nodes: {nodes}")
        demo = _DemoRun(deployment, session)
        await demo.run_round("The first day: prompts come for the first time.")
        await demo.wait_until_exported()
        deployment.evict_cached_blocks()
        await Clock().sleep_ms(_PAUSE_BETWEEN_DAYS_MS)
        await demo.run_round(
            "The next day: they return; every engine has evicted them."
        )
        stop_task = asyncio.create_task(_stop_engine_and_node(deployment))
        await demo.run_round("Once more, and an engine and an entry node are lost.")
        await stop_task
        report = demo.report()
    print(
        f"\n{report.whole} of {report.answers} answers whole, {report.lost} lost, "
        f"{report.mixed} mixed, {report.doubled} doubled; "
        f"{report.recomputed_share:.0%} of prompt tokens computed; first token "
        f"{report.ttft_ms['p50']:.0f} ms, p95 {report.ttft_ms['p95']:.0f} ms"
    )
    if as_json:
        print(msgspec.json.encode(report).decode())
    return report.is_clean


def _requests(title: str) -> list[LoadRequest]:
    requests = []
    for account in KEY_BY_ACCOUNT:
        clauses = account + "".join(
            _CLAUSE.format(index) for index in range(_CLAUSES_PER_PROMPT)
        )
        for index in range(_QUESTIONS_PER_ACCOUNT):
            name = f"{account} {title} {index}"
            mode = RequestMode.PROMPT if index == 0 else RequestMode.STREAM
            request = LoadRequest(
                _idempotency_key(name), account, mode, clauses + name, _MAX_TOKENS
            )
            requests.append(request)
        name = f"{account} {title} revision"
        requests.append(
            LoadRequest(_idempotency_key(name), account, RequestMode.CALL, name, 1)
        )
    return requests


def _idempotency_key(name: str) -> str:
    """Return an idempotency key; it may have visible characters only."""
    return name.replace(" ", "-")


async def _stop_engine_and_node(deployment: DemoDeployment) -> None:
    """Stop an engine and an entry node while their streams are in flight."""
    await Clock().sleep_ms(_STOP_DELAY_MS)
    engine_name = next(iter(deployment.engine_by_name))
    node_name = next(iter(deployment.node_by_name))
    print(f"  {engine_name} and {node_name} are stopped")
    node = deployment.node_by_name.pop(node_name)
    await asyncio.gather(deployment.engine_by_name[engine_name].stop(), node.close())
