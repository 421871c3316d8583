"""``fireflyward demo``: prompts through losses, and what came of them."""

import asyncio
import itertools

import aiohttp
import msgspec

from fireflyward.clock import Clock
from fireflyward.observe import Metrics
from fireflyward.standins import answer_text

from ._deployment import KEY_BY_ACCOUNT, MODEL, VERSION, DemoDeployment

_SHARED_CLAUSES = "Seismic clause 8.4: connections shall be detailed as follows. " * 40
_TOKENS = 40
_ROUNDS = 3
_QUESTIONS = 8


class DemoReport(msgspec.Struct):
    """What the demo counted."""

    answers: int = 0
    whole: int = 0
    doubled: int = 0
    mixed: int = 0
    recomputed_share: float = 0.0
    ttft_ms: dict[str, float] = {}
    link_bytes: int = 0
    bundle: int = 0


class _Asker:
    """Asks prompts at any node, again at another when one is lost."""

    def __init__(self, deployment: DemoDeployment, session: aiohttp.ClientSession):
        self._deployment = deployment
        self._session = session
        self._metrics = Metrics()
        self._turn = itertools.count()
        self.report = DemoReport()

    async def ask(self, account: str, question: str) -> None:
        """Ask one question and check its answer against the only right one."""
        prompt = _SHARED_CLAUSES + account + question
        wanted = answer_text(MODEL, VERSION, "", prompt, _TOKENS)
        self.report.answers += 1
        for _ in range(len(self._deployment.node_by_name)):
            text = await self._try(account, prompt)
            if text is not None:
                self.report.whole += text == wanted
                self.report.mixed += text != wanted
                return

    async def _try(self, account: str, prompt: str) -> str | None:
        nodes = list(self._deployment.node_by_name.values())
        node = nodes[next(self._turn) % len(nodes)]
        body = {"model": MODEL, "prompt": prompt, "max_tokens": _TOKENS, "stream": True}
        headers = {"Authorization": f"Bearer {KEY_BY_ACCOUNT[account]}"}
        url = f"http://127.0.0.1:{node.port}/v1/completions"
        began_ms = Clock().now_ms()
        texts: list[str] = []
        try:
            async with self._session.post(url, json=body, headers=headers) as response:
                if response.status != 200:
                    return None
                async for line in response.content:
                    if not line.startswith(b"data: "):
                        continue
                    if line.startswith(b"data: [DONE]"):
                        return "".join(texts)
                    if not texts:
                        waited_ms = Clock().now_ms() - began_ms
                        self._metrics.observe_ms("first_token_ms", waited_ms)
                    texts.append(_text_of(line))
        except (aiohttp.ClientError, OSError):
            return None
        return None

    def finish(self) -> DemoReport:
        """Complete the report from the engines' and nodes' own counts."""
        models = [item.model for item in self._deployment.engine_by_name.values()]
        computed = sum(model.computed_tokens for model in models)
        cached = sum(model.cached_tokens for model in models)
        self.report.recomputed_share = round(computed / max(1, computed + cached), 4)
        self.report.ttft_ms = {
            "p50": self._metrics.quantile_ms("first_token_ms", 50),
            "p95": self._metrics.quantile_ms("first_token_ms", 95),
        }
        nodes = self._deployment.node_by_name.values()
        self.report.bundle = max(node.holder.number for node in nodes)
        return self.report


async def run_demo(*, as_json: bool) -> bool:
    """Run the demo; return whether nothing was lost, doubled or mixed."""
    async with DemoDeployment() as deployment, aiohttp.ClientSession() as session:
        asker = _Asker(deployment, session)
        for number in range(_ROUNDS):
            print(f"round {number + 1}: {len(KEY_BY_ACCOUNT) * _QUESTIONS} prompts")
            losing = None
            if number == 1:
                losing = asyncio.create_task(_lose_one_of_each(deployment))
            await _ask_all(asker, number)
            if losing:
                await losing
        report = asker.finish()
    print(
        f"{report.whole} of {report.answers} answers whole, {report.mixed} mixed, "
        f"{report.doubled} doubled; {report.recomputed_share:.0%} recomputed; "
        f"first token {report.ttft_ms['p50']:.0f} ms (p95 "
        f"{report.ttft_ms['p95']:.0f} ms); bundle {report.bundle} in force"
    )
    if as_json:
        print(msgspec.json.encode(report).decode())
    return report.whole == report.answers and not report.doubled + report.mixed


async def _ask_all(asker: _Asker, number: int) -> None:
    asks = [
        asker.ask(account, f"round {number} question {index}")
        for account in KEY_BY_ACCOUNT
        for index in range(_QUESTIONS)
    ]
    await asyncio.gather(*asks)


async def _lose_one_of_each(deployment: DemoDeployment) -> None:
    """Lose an engine and an entry node while their streams are under way."""
    await asyncio.sleep(0.1)
    name = next(iter(deployment.engine_by_name))
    print(f"losing {name} mid-stream")
    await deployment.engine_by_name[name].stop()
    node_name = next(iter(deployment.node_by_name))
    print(f"losing {node_name} mid-stream")
    await deployment.node_by_name.pop(node_name).close()


def _text_of(line: bytes) -> str:
    event = msgspec.json.decode(line.removeprefix(b"data: "))
    return event["choices"][0].get("text") or ""
