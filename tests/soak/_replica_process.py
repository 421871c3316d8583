"""A replica as a process of its own, which rejects requests and repeats rejections.

    python -m tests.soak._replica_process '{"incarnation": "p-1", "seed": 7, ...}'

It prints its address, and ends when its input does. Each execution is written to a file
before it begins, so that a process that is killed has recorded all of them.
"""

import asyncio
import json
import os
import random
import sys

from tests.platform_standins import ReplicaBehavior, ReplicaStandIn

from ._callers import STREAM_EVENTS

_REJECTED = 0.3
_ANSWERED_EARLY = 0.5
_REPORT_REPEATED = 0.2
_MAX_WORK_S = 0.03
_MAX_COPY_DELAY_S = 0.05


def body_of(request_id, size):
    """Return the body of a request, which its replica can check.

    >>> body_of("q1", 5)
    b'q1q1q'
    """
    return (request_id.encode() * (size // len(request_id) + 1))[:size]


class RejectingReplica(ReplicaStandIn):
    """Rejects some requests, and sends some of its rejections and reports again.

    A copy comes after a drawn time, or before the next response on its connection. To
    some requests with a body it answers before it has read the body.
    """

    def __init__(self, settings):
        super().__init__(
            settings["incarnation"],
            model=settings["model"],
            version=settings["version"],
            events=STREAM_EVENTS,
            pause_s=0.003,
        )
        self.started_ms = settings["started_ms"]
        self._random = random.Random(settings["seed"])
        self._max_requests = 2 * settings["slots"]
        self._requests = 0
        self._records = os.open(
            settings["records"], os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600
        )

    def record(self, kind, value):
        line = json.dumps({"kind": kind, "value": value}) + "\n"
        os.write(self._records, line.encode())

    async def answer(self, request, writer):
        if request.path == "/-/order":
            self.record("order", request.json())
        return await super().answer(request, writer)

    async def answer_before_body(self, request, writer):
        """Reject or execute some requests with a body before it is read."""
        if not int(request.headers.get("content-length", 0)) or self.model:
            return False
        if request.path.startswith("/-/") or self._random.random() > _ANSWERED_EARLY:
            return False
        await self.answer(request, writer)
        await writer.drain()
        await asyncio.sleep(self._random.uniform(0, _MAX_WORK_S))
        return True

    def on_late_body(self, request):
        self._check_body(request)

    async def _execute(self, request, writer):
        if request.body:
            self._check_body(request)
        is_full = 0 < self._max_requests <= self._requests
        if is_full or self._random.random() < _REJECTED:
            self.behaviors = [ReplicaBehavior.FULL]
        self._requests += 1
        try:
            return await super()._execute(request, writer)
        finally:
            self._requests -= 1

    def _after_report(self, writer, report):
        if self._random.random() < _REPORT_REPEATED:
            self._copy_by_writer[writer] = report

    def _after_rejection(self, writer, rejection):
        kind = self._random.choice(("once", "before the next", "later"))
        if kind == "before the next":
            self._copy_by_writer[writer] = rejection
        elif kind == "later":
            delay_s = self._random.uniform(0, _MAX_COPY_DELAY_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, writer.write, rejection)

    async def _plain(self, request, writer, behavior, own_headers):
        self.record("execution", request.headers["x-request-id"])
        await asyncio.sleep(self._random.uniform(0, _MAX_WORK_S))
        return await super()._plain(request, writer, behavior, own_headers)

    async def _stream(self, request, writer, behavior, own_headers):
        self.record("execution", request.headers["x-request-id"])
        await asyncio.sleep(self._random.uniform(0, _MAX_WORK_S))
        return await super()._stream(request, writer, behavior, own_headers)

    def _check_body(self, request):
        request_id = request.headers["x-request-id"]
        if request.body != body_of(request_id, len(request.body)):
            self.record("problem", f"{request_id} has other bytes in its body")


async def serve(settings):
    replica = RejectingReplica(settings)
    print(await replica.start(), flush=True)
    # The input ends with the process that started this one.
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve(json.loads(sys.argv[1])))
