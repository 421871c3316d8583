"""Sends requests over a number of concurrent streams and prints one JSON line."""

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


async def _send_requests(session, url, headers, remaining, durations_s) -> None:
    while next(remaining, None) is not None:
        started_s = time.perf_counter()
        async with session.post(url, json=BODY, headers=headers) as response:
            body = await response.read()
        assert response.status == 200, body
        assert b"[DONE]" in body or b'"done":true' in body, body
        durations_s.append(time.perf_counter() - started_s)


async def measure(url: str, key: str, streams: int, requests: int) -> dict[str, float]:
    """Send ``requests`` requests over ``streams`` concurrent streams."""
    headers = {"Authorization": f"Bearer {key}"}
    remaining = iter(range(requests))
    durations_s: list[float] = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started_s = time.perf_counter()
        await asyncio.gather(
            *(
                _send_requests(session, url, headers, remaining, durations_s)
                for _ in range(streams)
            )
        )
        elapsed_s = time.perf_counter() - started_s
    durations_s.sort()
    return {
        "per_s": len(durations_s) / elapsed_s,
        "p50_ms": durations_s[len(durations_s) // 2] * 1e3,
        "p99_ms": durations_s[len(durations_s) * 99 // 100] * 1e3,
    }


if __name__ == "__main__":
    url, key, streams, requests = sys.argv[1:]
    print(json.dumps(asyncio.run(measure(url, key, int(streams), int(requests)))))
