"""Malformed and arbitrary requests to the caller port of a complete node."""

import asyncio
import json
import logging
import unittest

from hypothesis import given, strategies as st

from fireflyward.demo import DemoDeployment
from tests.fuzz.profiles import fuzz

TIMEOUT_S = 10
READ_TIMEOUT_S = 0.1
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
MAX_EXTRA_TASKS = 8
KEY = b"Bearer key-bridge"
names = st.sampled_from(
    [
        b"Authorization",
        b"Idempotency-Key",
        b"Last-Event-ID",
        b"X-Bundle",
        b"X-Non-Idempotent",
        b"X-Deadline-Ms",
        b"traceparent",
        b"Content-Type",
        b"Content-Length",
        b"Transfer-Encoding",
        b"Expect",
    ]
)
values = st.one_of(
    st.sampled_from([KEY, b"true", b"-1", b"1", b"9" * 30, b"chunked", b""]),
    st.binary(max_size=40),
)
paths = st.one_of(
    st.sampled_from(
        [
            b"/v1/completions",
            b"/v1/chat/completions",
            b"/v1/models",
            b"/services/drafting/revisions",
            b"/services/%2e%2e/x",
            b"/metrics",
        ]
    ),
    st.binary(max_size=30).map(lambda part: b"/" + part),
)
methods = st.sampled_from([b"GET", b"POST", b"PUT", b"DELETE", b"HEAD", b"BREW"])
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
fields = st.fixed_dictionaries(
    {},
    optional={
        "model": st.just("clauses") | json_values,
        "prompt": st.text(max_size=60) | json_values,
        "messages": json_values,
        "max_tokens": st.sampled_from([0, -1, 1, 3, 2**63, "3", None, 1.5]),
        "stream": st.booleans() | json_values,
    },
)
bodies = st.one_of(
    fields.map(lambda value: json.dumps(value).encode()), st.binary(max_size=60)
)


class HttpTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.runner = cls.enterClassContext(asyncio.Runner())
        cls.deployment = DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        cls.runner.run(cls.deployment.__aenter__())
        cls.addClassCleanup(lambda: cls.runner.run(cls.deployment.__aexit__()))
        cls.node = next(iter(cls.deployment.node_by_name.values()))
        log = logging.getLogger("aiohttp.server")
        cls.addClassCleanup(log.setLevel, log.level)
        log.setLevel(logging.CRITICAL)
        cls.runner.run(cls.exchange(HEALTH, TIMEOUT_S))
        cls.tasks_before = cls.runner.run(cls.count_tasks())

    @staticmethod
    async def count_tasks():
        return len(asyncio.all_tasks())

    @classmethod
    async def exchange(cls, data, timeout_s):
        """Send bytes and return the answer.

        Return no bytes on a timeout, since the node may wait for more of the request.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", cls.node.port)
        try:
            writer.write(data)
            return await asyncio.wait_for(reader.read(), timeout_s)
        except (TimeoutError, ConnectionError):
            return b""
        finally:
            writer.close()

    async def wait_until_drained(self):
        """Wait until nothing is in flight.

        A run may go on for some time after its caller has closed the connection.
        """
        while self.node.admission.total():
            await asyncio.sleep(0.01)

    async def wait_for_extra_tasks(self):
        """Wait until there are no more tasks than a request may leave behind.

        Duties that tick at the same time have additional tasks for some ms. These are
        no leak: leaked tasks remain, and then this wait times out.
        """
        while await self.count_tasks() > self.tasks_before + MAX_EXTRA_TASKS:
            await asyncio.sleep(0.01)

    def check(self, data):
        """Check that the node answers or closes, stays alive and leaks nothing.

        The answer must not be an internal error.
        """
        answer = self.runner.run(self.exchange(data, READ_TIMEOUT_S))
        self.assertTrue(not answer or answer.startswith(b"HTTP/1."), answer[:80])
        self.assertNotIn(b'"code":"internal"', answer)
        self.assertNotIn(b" 500 ", answer[:16])
        alive = self.runner.run(self.exchange(HEALTH, TIMEOUT_S))
        self.assertIn(b"alive", alive)
        self.runner.run(asyncio.wait_for(self.wait_until_drained(), TIMEOUT_S))
        self.runner.run(asyncio.wait_for(self.wait_for_extra_tasks(), TIMEOUT_S))

    @fuzz(40)
    @given(st.binary(max_size=200))
    def test_bytes_that_are_no_request(self, data):
        self.check(data)

    @fuzz(80)
    @given(methods, paths, st.lists(st.tuples(names, values), max_size=6), bodies)
    def test_requests_with_any_headers_and_body(self, method, path, headers, body):
        lines = [method + b" " + path + b" HTTP/1.1", b"Host: x", b"Connection: close"]
        lines += [name + b": " + value for name, value in headers]
        lines.append(b"Content-Length: %d" % len(body))
        self.check(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    @fuzz(80)
    @given(st.booleans(), fields, st.lists(st.tuples(names, values), max_size=3))
    def test_prompts_of_a_known_caller(self, is_chat, body, headers):
        path = b"/v1/chat/completions" if is_chat else b"/v1/completions"
        data = json.dumps(body).encode()
        lines = [b"POST " + path + b" HTTP/1.1", b"Host: x", b"Connection: close"]
        lines.append(b"Authorization: " + KEY)
        lines += [
            name + b": " + value
            for name, value in headers
            if name not in (b"Authorization", b"Content-Length", b"Transfer-Encoding")
            and b"\r" not in value
            and b"\n" not in value
        ]
        lines.append(b"Content-Length: %d" % len(data))
        self.check(b"\r\n".join(lines) + b"\r\n\r\n" + data)
