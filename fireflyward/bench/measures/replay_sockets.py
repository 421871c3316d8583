"""Measures returning documents over real sockets, with and without stores.

Nodes, engines and stores run in this process, on loopback and on the real clock. The
figures are ratios of the run with stores to the run without, and they vary from run
to run.
"""

import asyncio
import itertools
import random
import time

import aiohttp

from fireflyward.bench import Bench, Figure
from fireflyward.demo import DemoDeployment
from fireflyward.standins import EngineCosts

_SEED = 1
_STORES = 2
_DOCUMENTS = 10
_DOCUMENT_BYTES = 24_000
_CLAUSE_BYTES = 8_000
_VISITS = 4
_BETWEEN_VISITS_S = 2.5
_BETWEEN_PROMPTS_S = 0.05
_ANSWER_TOKENS = 4
_HEADERS = {"Authorization": "Bearer key-bridge"}
_COSTS = EngineCosts(prefill_ms_per_token=0.05, cache_blocks=256)


def _run() -> list[Figure]:
    no_store = asyncio.run(_measure(0))
    ours = asyncio.run(_measure(_STORES))
    return [
        Figure("replay_sockets.recomputed_to_no_store", ours[0] / no_store[0], "×"),
        Figure("replay_sockets.p50_to_no_store", ours[1] / no_store[1], "×"),
        Figure("replay_sockets.p95_to_no_store", ours[2] / no_store[2], "×"),
    ]


async def _measure(stores: int) -> tuple[float, float, float]:
    """Return the recomputed share and the p50 and p95 of the time to first token."""
    rng = random.Random(_SEED)
    clauses = _text(rng, _CLAUSE_BYTES)
    documents = [clauses + _text(rng, _DOCUMENT_BYTES) for _ in range(_DOCUMENTS)]
    first_token_s: list[float] = []
    async with (
        DemoDeployment(stores=stores, costs=_COSTS) as deployment,
        aiohttp.ClientSession() as session,
    ):
        urls = itertools.cycle(deployment.urls)
        for visit in range(_VISITS):
            rng.shuffle(documents)
            for document in documents:
                prompt = f"{document} question {visit}"
                first_token_s.append(await _first_token_s(session, next(urls), prompt))
                await asyncio.sleep(_BETWEEN_PROMPTS_S)
            await asyncio.sleep(_BETWEEN_VISITS_S)
        models = [server.model for server in deployment.engine_by_name.values()]
        computed = sum(model.computed_tokens for model in models)
        cached = sum(model.cached_tokens for model in models)
    first_token_s.sort()
    share = computed / (computed + cached)
    return (
        share,
        first_token_s[len(first_token_s) // 2],
        first_token_s[len(first_token_s) * 95 // 100],
    )


async def _first_token_s(
    session: aiohttp.ClientSession, url: str, prompt: str
) -> float:
    """Send one prompt and return the seconds until its first token."""
    body = {
        "model": "clauses",
        "prompt": prompt,
        "max_tokens": _ANSWER_TOKENS,
        "stream": True,
    }
    started_s = time.perf_counter()
    first = 0.0
    async with session.post(
        f"{url}/v1/completions", json=body, headers=_HEADERS
    ) as response:
        response.raise_for_status()
        async for line in response.content:
            if line.startswith(b"data: ") and not first:
                first = time.perf_counter() - started_s
    return first


def _text(rng: random.Random, size: int) -> str:
    return rng.randbytes(size // 2).hex()


BENCH = Bench("replay_sockets", _run, is_count=False)
