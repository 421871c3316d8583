"""Shows two fleet nodes at work against stand-ins, and counts what went wrong.

Ends with exit code 1 if an answer was lost, doubled or mixed.
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

_ROUNDS = 10
_STREAM = {
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
        self.asked = self.answered = self.wrong = 0

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

    def believes_loaded(self, node, version):
        """Tell whether a node takes both engines for ready with a version.

        An engine has the version some hundred ms before anybody looks again.
        """
        states = node._directory.of_service("engines")
        now_ms = node._clock.now_ms()
        return all(
            state.version_by_model.get("m") == version and not state.is_loading(now_ms)
            for state in states
        )

    async def round(self, session, title):
        print(f"\n{title}")
        before = self.answered
        calls = []
        for number in range(_ROUNDS):
            node = self.nodes[number % len(self.nodes)]
            for method, path in (("GET", "/r/x"), ("POST", "/w/x"), ("POST", "/s/x")):
                calls.append(self._ask(session, node, method, path))
        await asyncio.gather(*calls)
        print(f"  {self.answered - before} of {len(calls)} answered")

    async def _ask(self, session, node, method, path):
        self.asked += 1
        request_id = f"q{self.asked}"
        headers = {"Host": "h.example", "Authorization": "Bearer key-1"}
        headers |= {"X-Request-Id": request_id, **(_STREAM if "/s/" in path else {})}
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
        numbers = [line for line in body.split(b"\n") if line.startswith(b"id:")]
        is_whole = "/s/" not in path or len(numbers) == 4
        is_own = response.headers["X-Request-Id"] == request_id
        self.wrong += not (is_whole and is_own)

    def doubled(self):
        executed_requests = [
            sent.headers["x-request-id"]
            for replica in self.plain
            for sent in replica.executed_requests
            if sent.method == "POST"
        ]
        return len(executed_requests) - len(set(executed_requests))

    async def stop(self):
        for server in [*self.plain, *self.engines, self.store]:
            await server.stop()


async def main():
    """Play the rounds; return whether nothing was lost, doubled or mixed."""
    demo = Demo()
    await demo.start()
    async with aiohttp.ClientSession() as session:
        await demo.round(session, "A calm round")
        demo.plain[0].behaviors = [
            ReplicaBehavior.RESETS,
            ReplicaBehavior.FULL,
            ReplicaBehavior.TRUNCATES,
        ]
        demo.engines[0].behaviors = [
            ReplicaBehavior.TRUNCATES_STREAM,
            ReplicaBehavior.FULL,
        ]
        await demo.round(session, "One replica of each service misbehaves")
        demo.operator.set_weights_version("m", 2)
        while not all(demo.believes_loaded(node, 2) for node in demo.nodes):
            await asyncio.sleep(0.05)
        await demo.round(session, "New weights are in place")
        stopping = asyncio.create_task(demo.nodes.pop().stop())
        await demo.round(session, "One node is stopped as planned")
        await stopping
    await demo.nodes[0].stop()
    await demo.stop()
    print(
        f"\nasked {demo.asked}, answered {demo.answered}, "
        f"doubled {demo.doubled()}, mixed or not whole {demo.wrong}"
    )
    return not demo.doubled() and not demo.wrong


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main()) else 1)
