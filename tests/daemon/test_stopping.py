import asyncio
import json
import logging
import unittest
from unittest import mock

import aiohttp

from fireflyward.daemon import StopStep
from fireflyward.demo import DemoDeployment
from fireflyward.membership import MemberState
from fireflyward.standins import EngineCosts, ServiceServer, answer_text

LIMIT_S = 30
TOKENS = 12
HEADERS = {"Authorization": "Bearer key-bridge"}
SERVICE_PATH = "/services/drafting/drawings"


class GatedService(ServiceServer):
    """Answers after ``gate`` is set; ``reached`` is set when a call has arrived."""

    def __init__(self):
        super().__init__()
        self.reached = asyncio.Event()
        self.gate = asyncio.Event()

    async def _handle(self, request):
        await request.read()
        self.reached.set()
        await self.gate.wait()
        return await super()._handle(request)


class StoppingTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(suppress_logs())
        deployment = DemoDeployment(
            nodes_per_domain=1,
            engines_per_domain=1,
            costs=EngineCosts(decode_ms_per_token=20.0),
        )
        deployment.service = self.service = GatedService()
        self.deployment = await self.enterAsyncContext(deployment)
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.node, self.other = self.deployment.node_by_name.values()
        self.url = f"http://127.0.0.1:{self.node.port}"
        self.steps = []
        self.node.observe = self.steps.append
        self.addAsyncCleanup(self.open_gate)

    async def open_gate(self):
        self.service.gate.set()

    async def wait_for_step(self, step):
        async with asyncio.timeout(LIMIT_S):
            while step not in self.steps:
                await asyncio.sleep(0.01)

    def call_service(self):
        return asyncio.create_task(self.fetch(SERVICE_PATH, b"r7"))

    async def fetch(self, path, body):
        async with self.session.post(
            self.url + path, data=body, headers=HEADERS
        ) as response:
            return response.status, await response.text(), response.headers


def suppress_logs():
    """Keep the logs of nodes that the tests stop out of the test output."""
    return mock.patch.object(
        logging.getLogger("fireflyward"), "level", logging.CRITICAL
    )


class DrainTests(StoppingTestCase):
    async def test_service_call_in_flight_is_not_cut(self):
        """Guards against resetting the connection of a plain service's caller.

        SIGTERM arrives while a service call is in flight. If only admitted prompts
        counted as in flight, the node would exit during the call.
        """
        call = self.call_service()
        await self.service.reached.wait()
        stopping = asyncio.create_task(self.node.stop())
        await asyncio.sleep(0.3)
        self.service.gate.set()
        status, text, _ = await call
        self.assertEqual((status, text), (200, "POST /drawings\nr7"))
        await stopping

    async def test_request_whose_body_is_still_arriving_is_not_cut(self):
        """Guards against failures of large uploads at every deployment.

        SIGTERM arrives when half of a request's body has arrived. If a request counted
        as in flight only after its body was read, the node would exit before that.
        """
        body = json.dumps(
            {"model": "clauses", "prompt": "beam 9?", "max_tokens": TOKENS}
        ).encode()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.node.port)
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer key-bridge\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body[:10])
        await writer.drain()
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(self.node.stop())
        await asyncio.sleep(0.3)
        writer.write(body[10:])
        async with asyncio.timeout(LIMIT_S):
            answer = await reader.read()
        writer.close()
        self.assertIn(b"200 OK", answer)
        wanted = answer_text("clauses", "v1", "", "beam 9?", TOKENS)
        self.assertIn(json.dumps(wanted).encode(), answer)
        await stopping

    async def test_stream_is_served_up_to_its_end_marker(self):
        body = {"model": "clauses", "prompt": "beam 8?", "stream": True}
        body = json.dumps({**body, "max_tokens": TOKENS}).encode()
        stream = asyncio.create_task(self.fetch("/v1/completions", body))
        async with asyncio.timeout(LIMIT_S):
            while not self.node.in_flight.count:
                await asyncio.sleep(0.01)
        await self.node.stop()
        _, text, _ = await stream
        self.assertTrue(text.endswith("data: [DONE]\n\n"))

    async def test_requests_are_served_during_the_balancer_wait(self):
        """Guards against refused connections at every deployment.

        SIGTERM arrives, and the balancer checks readiness only a second later. Until
        then it sends new requests to the node, so the port must stay open.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.node.port)
        stopping = asyncio.create_task(self.node.stop())
        await self.wait_for_step(StopStep.PEERS_TOLD)
        body = json.dumps({"model": "clauses", "prompt": "beam 7?"}).encode()
        status, _, headers = await self.fetch("/v1/completions", body)
        self.assertEqual((status, headers["Connection"]), (200, "close"))
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(LIMIT_S):
            answer = await reader.read()
        writer.close()
        self.assertIn(b"503", answer.split(b"\r\n")[0])
        await stopping

    async def test_peers_see_the_node_leaving_while_requests_finish(self):
        self.node.membership.add_seeds((self.other.link.address,))
        name = self.node.settings["node_name"]
        async with asyncio.timeout(LIMIT_S):
            while not self.other.members.get(name):
                await asyncio.sleep(0.01)
        call = self.call_service()
        await self.service.reached.wait()
        stopping = asyncio.create_task(self.node.stop())
        async with asyncio.timeout(LIMIT_S):
            while self.other.members.get(name).state is not MemberState.LEAVING:
                await asyncio.sleep(0.01)
        self.service.gate.set()
        await asyncio.gather(call, stopping)


class CutTests(StoppingTestCase):
    async def test_second_signal_cuts_and_logs_the_requests(self):
        call = self.call_service()
        await self.service.reached.wait()
        (request,) = self.node.in_flight.requests()
        with self.assertLogs("fireflyward.daemon", logging.WARNING) as logs:
            stopping = asyncio.create_task(self.node.stop())
            await self.wait_for_step(StopStep.KEEP_ALIVE_ENDED)
            self.node.cut()
            await stopping
        with self.assertRaises(aiohttp.ClientError):
            await call
        self.assertIn("a second signal cuts 1 requests", logs.output[0])
        self.assertIn(request.request_id, logs.output[1])
        self.assertIn("POST " + SERVICE_PATH, logs.output[1])


class StepTests(StoppingTestCase):
    async def test_a_stream_that_is_cut_does_not_look_complete(self):
        """Guards against a last chunk or an end marker from a node that stops."""
        for is_stream in (True, False):
            with self.subTest(is_stream=is_stream):
                rest = await self.cut_completion(is_stream=is_stream)
                self.assertNotIn(b"[DONE]", rest)
                self.assertNotIn(b"\r\n0\r\n\r\n", rest)
                self.assertNotIn(b"200 OK", rest)

    async def cut_completion(self, *, is_stream):
        """Return what a caller receives after its run has been cut."""
        body = {"model": "clauses", "prompt": f"beam {is_stream}?"}
        body = {**body, "stream": is_stream, "max_tokens": 1_000}
        encoded = json.dumps(body).encode()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.node.port)
        self.addCleanup(writer.close)
        lines = ["POST /v1/completions HTTP/1.1", "Host: h"]
        lines += ["Authorization: Bearer key-bridge"]
        lines += [f"Content-Length: {len(encoded)}", "", ""]
        writer.write("\r\n".join(lines).encode() + encoded)
        async with asyncio.timeout(LIMIT_S):
            if is_stream:
                await reader.readuntil(b"data: ")
            while not self.node.in_flight.count:
                await asyncio.sleep(0.01)
            self.node.in_flight.cut()
            return await reader.read()

    async def test_steps_are_reached_in_order(self):
        await self.node.stop()
        wanted = [step for step in StopStep if step is not StopStep.CUT]
        self.assertEqual(self.steps, wanted)
