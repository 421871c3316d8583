"""Callers that keep connections open and record the result of each request."""

import asyncio
from dataclasses import dataclass

import aiohttp

STREAM_EVENTS = 12


@dataclass
class RequestResult:
    """Result of one request; ``status`` is None if no complete response arrived."""

    request_id: str
    path: str
    node: str
    sent_s: float
    key: str
    status: int | None = None
    problem: str = ""


class Caller:
    """Sends one request after another, each to a random node.

    A node may have stopped being ready.
    """

    deadline_ms = 4_000
    timeout_s = 6

    def __init__(self, name, random, nodes, keys, results):
        self._name = name
        self._random = random
        self._nodes = nodes
        self._keys = keys
        self._results = results
        self._count = 0

    async def run(self):
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._send_request(session)
                await asyncio.sleep(self._random.uniform(0.0, 0.04))

    def body(self, path, request_id):
        """Return the body of a request."""
        return None

    def draw_route(self):
        """Return the method and the path of the next request."""
        return self._random.choice(
            (("GET", "/r/x"), ("POST", "/w/x"), ("POST", "/s/x"))
        )

    async def _send_request(self, session):
        self._count += 1
        node = self._random.choice(self._nodes)
        method, path = self.draw_route()
        request_id = f"{self._name}-{self._count}"
        key = self._random.choice(self._keys)
        now_s = asyncio.get_running_loop().time()
        result = RequestResult(request_id, path, node.name, now_s, key)
        self._results[request_id] = result
        headers = {
            "Host": "h.example",
            "Authorization": f"Bearer {key}",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(self.deadline_ms),
        }
        if path == "/s/x":
            prefix = f"common:300,{self._random.randrange(9)}:500,{request_id}:100"
            headers |= {"X-Model": "m", "X-Token-Usage": "900,9"}
            headers["X-Prompt-Prefix"] = prefix
        try:
            url = node.url + path
            sent = self.body(path, request_id)
            async with session.request(
                method, url, headers=headers, data=sent
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return
        result.status = response.status
        result.problem = _problem(result, response, body)


def _problem(result, response, body):
    """Return what is wrong with a single answer, or an empty string."""
    answered_id = response.headers.get("X-Request-Id")
    if response.status != 200:
        is_signed = "X-Server-Seal" in response.headers
        if is_signed and response.status in (408, 421, 429, 503):
            return f"signed {response.status}"
        return ""
    if answered_id != result.request_id:
        return f"answer of {answered_id}"
    if "X-Server-Seal" not in response.headers:
        return "answer without a signature"
    if result.path == "/s/x":
        lines = body.decode().split("\n")
        event_ids = [int(line[3:]) for line in lines if line.startswith("id:")]
        if event_ids != list(range(1, STREAM_EVENTS + 1)):
            return f"events {event_ids}"
    elif not body.startswith(b"answer of p-"):
        return f"body {body[:20]!r}"
    return ""
