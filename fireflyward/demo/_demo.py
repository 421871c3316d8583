"""``fireflyward demo``: prompts that return, losses on the way, their cost."""

import asyncio
from collections import Counter

import aiohttp
import msgspec

from fireflyward.checker import Checker, Ending
from fireflyward.clock import Clock
from fireflyward.load import LoadCaller, LoadPlan, LoadRequest, RequestMode, make_report
from fireflyward.standins import EngineCosts
from fireflyward.upstreams import BLOCK_TOKENS, count_tokens

from ._deployment import KEY_BY_ACCOUNT, DemoDeployment

_CLAUSE = "Seismic clause 8.{}: connections shall be detailed as the code requires. "
_CLAUSES = 130
_QUESTIONS = 4
_MAX_TOKENS = 40
_PATIENCE_MS = 15_000
_KEPT_LIMIT_MS = 6_000
_LOSS_AFTER_MS = 80
_POLL_MS = 50
_NIGHT_MS = 2_500
_MB = 1e6
_COSTS = EngineCosts(prefill_ms_per_token=0.3)


class DemoReport(msgspec.Struct):
    """What the demo counted; ``link_bytes`` crossed the stores' links."""

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
        """Tell whether nothing was lost, doubled or mixed."""
        is_whole = self.whole == self.answers
        return is_whole and not self.lost + self.doubled + self.mixed


class _Demo:
    """Asks by way of the load tool's callers, so that every answer is checked."""

    def __init__(
        self, deployment: DemoDeployment, session: aiohttp.ClientSession
    ) -> None:
        self._deployment = deployment
        self._clock = Clock()
        self._checker = Checker(sees_platform=False)
        self._count_by_ending: Counter[Ending | None] = Counter()
        self._plan = LoadPlan(0, 0, KEY_BY_ACCOUNT)
        self._caller = LoadCaller(
            session,
            deployment.urls,
            self._plan,
            self._checker,
            self._clock,
            _PATIENCE_MS,
        )
        self._tokens_before = (0, 0)

    async def round(self, title: str) -> None:
        """Ask every account's questions once more and say what it cost."""
        print(f"\n{title}")
        requests = _requests(title)
        endings = await asyncio.gather(
            *(
                self._caller.send_until_final(request, turn)
                for turn, request in enumerate(requests)
            )
        )
        for request, ending in zip(requests, endings, strict=True):
            self._count_by_ending[ending] += 1
            told = ending.value if ending else "lost"
            print(f"  {request.account:<12} {request.mode:<7} {told}")
        computed, cached = self._tokens()
        computed_before, cached_before = self._tokens_before
        self._tokens_before = computed, cached
        print(
            f"  prompt tokens computed {computed - computed_before}, "
            f"reused {cached - cached_before}; over the store's links so far "
            f"{self._deployment.link_bytes / _MB:.0f} MB"
        )

    async def wait_until_kept(self) -> None:
        """Wait until the store holds what the round computed, or a while."""
        end_ms = self._clock.now_ms() + _KEPT_LIMIT_MS
        wanted = _CLAUSES * count_tokens(_CLAUSE) // BLOCK_TOKENS
        while self._clock.now_ms() < end_ms:
            if self._deployment.stored_blocks >= wanted * len(KEY_BY_ACCOUNT):
                break
            await self._clock.sleep_ms(_POLL_MS)
        print(f"  the store keeps {self._deployment.stored_blocks} blocks")

    def report(self) -> DemoReport:
        """Put the figures together from what callers, engines and service saw."""
        load = make_report(
            requests=self._count_by_ending.total(),
            answers=self._count_by_ending[Ending.ANSWERED],
            unknown=self._count_by_ending[Ending.UNKNOWN],
            retries=self._caller.retries,
            seconds=0.0,
            first_token_ms=self._caller.first_token_ms,
            violations=self._checker.finish(self._clock.now_ms()),
        )
        for violation in load.violations:
            print(f"  broken: {violation}")
        computed, cached = self._tokens()
        times = Counter(self._deployment.service.bodies).values()
        return DemoReport(
            answers=load.requests,
            whole=load.whole,
            lost=load.requests - load.answers,
            doubled=sum(count - 1 for count in times),
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
        demo = _Demo(deployment, session)
        await demo.round("The first day: prompts come for the first time.")
        await demo.wait_until_kept()
        deployment.forget_cached_blocks()
        await Clock().sleep_ms(_NIGHT_MS)
        await demo.round("The next day: they return; every engine has evicted them.")
        losing = asyncio.create_task(_lose_one_of_each(deployment))
        await demo.round("Once more, and an engine and an entry node are lost.")
        await losing
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
        clauses = account + "".join(_CLAUSE.format(index) for index in range(_CLAUSES))
        for index in range(_QUESTIONS):
            name = f"{account} {title} {index}"
            mode = RequestMode.PROMPT if index == 0 else RequestMode.STREAM
            request = LoadRequest(
                _key(name), account, mode, clauses + name, _MAX_TOKENS
            )
            requests.append(request)
        name = f"{account} {title} revision"
        requests.append(LoadRequest(_key(name), account, RequestMode.CALL, name, 1))
    return requests


def _key(name: str) -> str:
    """Return an idempotency key, which has visible characters only."""
    return name.replace(" ", "-")


async def _lose_one_of_each(deployment: DemoDeployment) -> None:
    """Lose an engine and an entry node while their streams are under way."""
    await Clock().sleep_ms(_LOSS_AFTER_MS)
    engine_name = next(iter(deployment.engine_by_name))
    node_name = next(iter(deployment.node_by_name))
    print(f"  {engine_name} and {node_name} are lost")
    node = deployment.node_by_name.pop(node_name)
    await asyncio.gather(deployment.engine_by_name[engine_name].stop(), node.close())
