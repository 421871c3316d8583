"""Processor time of a request through a relay: ``python -m benchmarks.relay_cost``.

The node, the relay and the replica share one process. The difference to a direct
connection is what the relay and the frames cost.
"""

import asyncio
import time

from fireflyward.aggregators import Member
from fireflyward.clock import Clock
from fireflyward.http1 import ConnectionPool, End
from fireflyward.peers import PeerCodec, PeerLink
from fireflyward.relays import RelayClient, RelayServer, ReplicaPaths
from fireflyward.replicas import ReplicaDirectory
from tests.platform_standins import ReplicaStandIn
from tests.replicas.makers import entry

_REQUESTS = 2_000
_CONNECTIONS = 300
_EVENTS = 20
_KEY = b"k" * 32
_HEADERS = [("X-Request-Id", "q1")]


def _link(name):
    return PeerLink(node_name=name, incarnation=1, codec=PeerCodec((_KEY,)))


async def _exchange(connection):
    connection.send("POST", "/x", _HEADERS, b"b" * 800)
    while not isinstance(await connection.next_event(), End):
        pass


async def _request_us(connection):
    for _ in range(200):
        await _exchange(connection)
    started_s = time.process_time()
    for _ in range(_REQUESTS):
        await _exchange(connection)
    return 1e6 * (time.process_time() - started_s) / _REQUESTS


async def _open_us(open_connection):
    started_s = time.process_time()
    for _ in range(_CONNECTIONS):
        (await open_connection()).close()
        await asyncio.sleep(0)
    return 1e6 * (time.process_time() - started_s) / _CONNECTIONS


async def _measure(replica):
    directory = ReplicaDirectory()
    directory.on_full_read(0, [entry("r1", address=replica.address)])
    state = directory.find("r1")
    relay, node = _link("relay"), _link("node")
    server = RelayServer(
        clock=Clock(),
        directory=directory,
        paths=ReplicaPaths(directory),
        max_tunnels=1_000,
        on_silent=lambda replica: None,
    )
    server.use(relay)
    await relay.start()
    await node.start()
    member = Member("relay", "a", relay.address, 100.0)
    client = RelayClient(
        clock=Clock(), failure_domain="a", members=lambda now_ms: [member], seed=1
    )
    client.use(node)
    pool = ConnectionPool(Clock())

    async def open_direct():
        return await pool.acquire(replica.address, connect_ms=1_000, fresh=True)

    async def open_relayed():
        return await client.open(state, limit_ms=1_000)

    for name, open_connection in (("direct", open_direct), ("relayed", open_relayed)):
        connection = await open_connection()
        request_us = await _request_us(connection)
        connection.close()
        open_us = await _open_us(open_connection)
        print(f"{name}: {request_us:.0f} us a request, {open_us:.0f} us a connection")
    await server.drain(0)
    await node.stop()
    await relay.stop()


async def main():
    for name, replica in (
        ("answers of one part", ReplicaStandIn("r1")),
        (
            f"streams of {_EVENTS} events",
            ReplicaStandIn("r1", model="m", events=_EVENTS),
        ),
    ):
        print(name)
        await replica.start()
        await _measure(replica)
        await replica.stop()


if __name__ == "__main__":
    asyncio.run(main())
