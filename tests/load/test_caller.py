"""A caller whose stream breaks off in the middle of an event."""

import unittest

import aiohttp

from fireflyward.checker import AttemptStatus, Checker
from fireflyward.clock import Clock
from fireflyward.load import LoadPlan, RequestMode
from fireflyward.load._caller import LoadCaller
from fireflyward.load._plan import LoadRequest
from tests.platform_standins import RawServer

_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Outcome: answered\r\nX-Request-Id: r\r\nX-Bundle: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_EVENTS = [
    b'id: %d\ndata: {"choices": [{"text": "%s"}]}\n\n' % (number, text)
    for number, text in ((1, b"a"), (2, b"b"))
]
_LIMIT_MS = 60_000
_DONE = b"data: [DONE]\n\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class _Server(RawServer):
    """Breaks off its stream after some bytes, and resumes it after an event."""

    size = 0

    async def answer(self, request, writer):
        last = request.headers.get("last-event-id")
        events = b"".join(_EVENTS[int(last or 0) :]) + _DONE
        if len(self.requests) == 1:
            writer.write(_HEAD + chunk(events[: self.size]) if self.size else _HEAD)
            return False
        writer.write(_HEAD + chunk(events) + b"0\r\n\r\n")
        return True


class _Caller(LoadCaller):
    """Keeps the text of the last attempt."""

    last_text = ""

    def _report_attempt(self, url, request, result, started_ms, is_final):
        self.last_text = result.text
        super()._report_attempt(url, request, result, started_ms, is_final)


class LoadCallerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_stream_that_breaks_off_anywhere_is_resumed_whole(self):
        """Guards against a text that is missing or doubled after a cut event."""
        request = LoadRequest("n", "bridge-team", RequestMode.STREAM, "beam?", 2)
        plan = LoadPlan(1, 1, {"bridge-team": "k"})
        for size in range(len(b"".join(_EVENTS))):
            with self.subTest(size=size):
                server = _Server()
                server.size = size
                await server.start()
                self.addAsyncCleanup(server.stop)
                async with aiohttp.ClientSession() as session:
                    url = f"http://{server.address}"
                    caller = _Caller(
                        session, [url], plan, Checker(), Clock(), _LIMIT_MS
                    )
                    status = await caller.send_until_final(request)
                self.assertIs(status, AttemptStatus.ANSWERED)
                self.assertEqual(caller.last_text, "ab")
