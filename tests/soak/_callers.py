"""Callers that keep connections open and remember what they were told."""

import asyncio
from dataclasses import dataclass

import aiohttp

_PATIENCE_S = 6
STREAM_EVENTS = 12


@dataclass
class Told:
    """What one caller was told of one request; ``status`` None is a cut."""

    request_id: str
    path: str
    node: str
    sent_s: float
    key: str
    status: int | None = None
    problem: str = ""


class Caller:
    """Sends one request after another to nodes that are ready or were."""

    def __init__(self, name, random, nodes, keys, told):
        self._name = name
        self._random = random
        self._nodes = nodes
        self._keys = keys
        self._told = told
        self._count = 0

    async def run(self):
        timeout = aiohttp.ClientTimeout(total=_PATIENCE_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._ask(session)
                await asyncio.sleep(self._random.uniform(0.0, 0.04))

    async def _ask(self, session):
        self._count += 1
        node = self._random.choice(self._nodes)
        method, path = self._random.choice(
            (("GET", "/r/x"), ("POST", "/w/x"), ("POST", "/s/x"))
        )
        request_id = f"{self._name}-{self._count}"
        key = self._random.choice(self._keys)
        now_s = asyncio.get_running_loop().time()
        told = Told(request_id, path, node.name, now_s, key)
        self._told[request_id] = told
        headers = {
            "Host": "h.example",
            "Authorization": f"Bearer {key}",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
        }
        if path == "/s/x":
            prefix = f"common:300,{self._random.randrange(9)}:500,{request_id}:100"
            headers |= {"X-Model": "m", "X-Token-Usage": "900,9"}
            headers["X-Prompt-Prefix"] = prefix
        try:
            url = node.url + path
            async with session.request(method, url, headers=headers) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return
        told.status = response.status
        told.problem = _problem(told, response, body)


def _problem(told, response, body):
    """Say what is wrong with an answer by itself."""
    own = response.headers.get("X-Request-Id")
    if response.status != 200:
        is_signed = "X-Server-Seal" in response.headers
        if is_signed and response.status in (408, 421, 429, 503):
            return f"signed {response.status}"
        return ""
    if own != told.request_id:
        return f"answer of {own}"
    if "X-Server-Seal" not in response.headers:
        return "answer without a signature"
    if told.path == "/s/x":
        lines = body.decode().split("\n")
        numbers = [int(line[3:]) for line in lines if line.startswith("id:")]
        if numbers != list(range(1, STREAM_EVENTS + 1)):
            return f"events {numbers}"
    elif not body.startswith(b"answer of p-"):
        return f"body {body[:20]!r}"
    return ""
