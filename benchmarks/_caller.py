"""A caller that keeps a number of streams open; prints one JSON line."""

import asyncio
import json
import sys
import time

import aiohttp

BODY = {
    "model": "clauses",
    "version": "v1",
    "run_id": "r",
    "prompt": "beam schedule",
    "max_tokens": 20,
    "stream": True,
}


async def _work(session, url, headers, turns, waits) -> None:
    while next(turns, None) is not None:
        began = time.perf_counter()
        async with session.post(url, json=BODY, headers=headers) as response:
            body = await response.read()
        assert response.status == 200, body
        assert b"[DONE]" in body or b'"done":true' in body, body
        waits.append(time.perf_counter() - began)


async def measure(url: str, key: str, streams: int, requests: int) -> dict[str, float]:
    """Send ``requests`` over ``streams`` at a time."""
    headers = {"Authorization": f"Bearer {key}"}
    turns = iter(range(requests))
    waits: list[float] = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        began = time.perf_counter()
        await asyncio.gather(
            *(_work(session, url, headers, turns, waits) for _ in range(streams))
        )
        took = time.perf_counter() - began
    waits.sort()
    return {
        "per_s": len(waits) / took,
        "p50_ms": waits[len(waits) // 2] * 1e3,
        "p99_ms": waits[len(waits) * 99 // 100] * 1e3,
    }


if __name__ == "__main__":
    url, key, streams, requests = sys.argv[1:]
    print(json.dumps(asyncio.run(measure(url, key, int(streams), int(requests)))))
