"""Entries with addresses of hosts at which no replica listens."""

import asyncio
import json
import socket
from unittest import mock

from .node_fixtures import NodeTestCase

# Nothing listens at these.
_NOT_LISTENING = ("127.0.0.1:1", "127.0.0.2:1", "127.255.255.254:1")
_SILENT = 12
_REQUESTS = 60


class UnreachableEntryTests(NodeTestCase):
    def silent_address(self):
        """Return an address at which connections are neither opened nor refused."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(listener.close)
        for _ in range(3):
            client = socket.socket()
            self.addCleanup(client.close)
            client.setblocking(False)
            client.connect_ex(listener.getsockname())
        return f"127.0.0.1:{listener.getsockname()[1]}"

    async def put_entries(self, addresses):
        """Write entries that look like large and idle replicas."""
        await self.start_ready()
        status, _, _ = await self.fetch("GET", "/r/x")
        self.assertEqual(status, 200)
        entry = json.loads(self.plain[0].entry("plain"))
        for address in addresses:
            odd = {**entry, "address": address, "slots": 64, "born": 7}
            self.store.put("servers", f"odd-{address}", json.dumps(odd).encode())
        await self.until(lambda: len(self.node._directory) == 4 + len(addresses))

    async def check_answers(self):
        for path, method in (("/r/x", "GET"), ("/w/x", "POST")):
            answers = [self.fetch(method, path) for _ in range(_REQUESTS)]
            found = await asyncio.gather(*answers)
            found += [await self.fetch(method, path) for _ in range(_REQUESTS)]
            statuses = [status for status, _, _ in found]
            self.assertEqual(statuses.count(200), 2 * _REQUESTS, path)

    async def test_entries_at_which_nothing_listens_cost_no_requests(self):
        """Guards against requests that fail because of an entry that looks idle."""
        await self.put_entries(_NOT_LISTENING)
        await self.check_answers()

    async def test_entries_of_silent_hosts_cost_no_requests(self):
        """Guards against rejections because entries name hosts that do not answer."""
        with mock.patch("fireflyward.forwarding._request_run._CONNECT_TIMEOUT_MS", 350):
            await self.put_entries([self.silent_address() for _ in range(_SILENT)])
            await self.check_answers()
