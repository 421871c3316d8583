"""Runs two fleet nodes against stand-ins and counts the faults of their answers.

Exits with code 1 if a non-idempotent request was executed twice, or if an answer was
incomplete or belonged to another request.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

import aiohttp

from fireflyward.clock import Clock
from fireflyward.fleet._node import FleetNode
from fireflyward.platform import load_settings

from ._operator import Operator, settings_text
from ._replica import ReplicaBehavior, ReplicaStandIn
from ._store import StoreStandIn

_REPEATS_PER_ROUND = 10
_STREAM_HEADERS = {
    "X-Model": "m",
    "X-Token-Usage": "900,4",
    "X-Prompt-Prefix": "aa:500,bb:400",
    "X-Deadline-Ms": "5000",
}


class Demo:
    """Two nodes, two plain replicas, two engines, one store, one operator."""

    def __init__(self):
        self.store = StoreStandIn()
        self.operator = Operator(self.store)
        self.plain = [ReplicaStandIn(f"plain-{n}") for n in (1, 2)]
        self.engines = [ReplicaStandIn(f"engine-{n}", model="m") for n in (1, 2)]
        self.nodes = []
        self.sent = self.answered = self.wrong_answers = 0

    async def start(self):
        await self.store.start()
        for service, replicas in (("plain", self.plain), ("engines", self.engines)):
            for replica in replicas:
                await replica.start()
                entry = replica.entry(service)
                self.store.put("servers", replica.incarnation, entry)
        self.operator.configure()
        for number in (1, 2):
            node = FleetNode(self._settings(f"entry-{number}"), clock=Clock())
            await node.start()
            self.nodes.append(node)
        while not all(
            node.is_ready and len(node._directory) == 4 for node in self.nodes
        ):
            await asyncio.sleep(0.05)

    def _settings(self, name):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings"
            text = settings_text(self.store.address, (0, 0, 0), **{"node-name": name})
            path.write_text(text)
            return load_settings(str(path))

    def has_loaded_engines(self, node, version):
        """Return whether a node considers both engines ready with a version.

        A node sees the new version some hundred ms after the engine has loaded it.
        """
        states = node._directory.of_service("engines")
        now_ms = node._clock.now_ms()
        return all(
            state.version_by_model.get("m") == version and not state.is_loading(now_ms)
            for state in states
        )

    async def run_round(self, session, title):
        print(f"\n{title}")
        before = self.answered
        calls = []
        for number in range(_REPEATS_PER_ROUND):
            node = self.nodes[number % len(self.nodes)]
            for method, path in (("GET", "/r/x"), ("POST", "/w/x"), ("POST", "/s/x")):
                calls.append(self._send_request(session, node, method, path))
        await asyncio.gather(*calls)
        print(f"  {self.answered - before} of {len(calls)} answered")

    async def _send_request(self, session, node, method, path):
        self.sent += 1
        request_id = f"q{self.sent}"
        headers = {"Host": "h.example", "Authorization": "Bearer key-1"}
        headers |= {
            "X-Request-Id": request_id,
            **(_STREAM_HEADERS if "/s/" in path else {}),
        }
        url = f"http://{node.callers_address}{path}"
        try:
            async with session.request(method, url, headers=headers) as response:
                body = await response.read()
        except aiohttp.ClientError as error:
            print(f"  {request_id} {method} {path}: {type(error).__name__}")
            return
        if response.status != 200:
            reason = body.decode()
            print(f"  {request_id} {method} {path}: {response.status} {reason}")
            return
        self.answered += 1
        id_lines = [line for line in body.split(b"\n") if line.startswith(b"id:")]
        is_complete = "/s/" not in path or len(id_lines) == 4
        has_own_id = response.headers["X-Request-Id"] == request_id
        self.wrong_answers += not (is_complete and has_own_id)

    def count_duplicates(self):
        request_ids = [
            sent.headers["x-request-id"]
            for replica in self.plain
            for sent in replica.executed_requests
            if sent.method == "POST"
        ]
        return len(request_ids) - len(set(request_ids))

    async def stop(self):
        for server in [*self.plain, *self.engines, self.store]:
            await server.stop()


async def main():
    """Run all rounds; return whether no request ran twice and no answer was wrong."""
    demo = Demo()
    await demo.start()
    async with aiohttp.ClientSession() as session:
        await demo.run_round(session, "A round without faults")
        demo.plain[0].behaviors = [
            ReplicaBehavior.RESETS,
            ReplicaBehavior.FULL,
            ReplicaBehavior.TRUNCATES,
        ]
        demo.engines[0].behaviors = [
            ReplicaBehavior.TRUNCATES_STREAM,
            ReplicaBehavior.FULL,
        ]
        await demo.run_round(session, "One replica of each service is faulty")
        demo.operator.set_weights_version("m", 2)
        while not all(demo.has_loaded_engines(node, 2) for node in demo.nodes):
            await asyncio.sleep(0.05)
        await demo.run_round(session, "New weights are loaded")
        stopping = asyncio.create_task(demo.nodes.pop().stop())
        await demo.run_round(session, "A planned stop of one node")
        await stopping
    await demo.nodes[0].stop()
    await demo.stop()
    print(
        f"\nsent {demo.sent}, answered {demo.answered}, "
        f"executed twice {demo.count_duplicates()}, "
        f"mixed or incomplete {demo.wrong_answers}"
    )
    return not demo.count_duplicates() and not demo.wrong_answers


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main()) else 1)
