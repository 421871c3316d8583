"""An engine whose requests wait before they begin, and whose orders may be lost."""

import asyncio
import enum
import math
from dataclasses import dataclass

from tests.platform_standins import ReplicaBehavior, ReplicaStandIn
from tests.platform_standins._http import json_response, response
from tests.platform_standins._replica import SIGNATURE

from ._callers import STREAM_EVENTS

_SLOTS = 4
_POLL_S = 0.01
_HELD_UP_S = 0.1
_EVENT_PAUSE_S = 0.005


class OrderFault(enum.Enum):
    """What happens to an order that gets no response."""

    LOST = "never carried out"
    UNANSWERED = "carried out at once"
    LATE = "carried out seconds later, if it still applies"


@dataclass(frozen=True)
class Begun:
    """A request that began, and the weights that its engine had then."""

    request_id: str
    version: int
    arrived_s: float
    begun_s: float


class WeightsEngine(ReplicaStandIn):
    """An engine that loads weights as ordered once its requests have ended.

    Requests wait for ``hold_s`` and for a slot before they begin. Each order consumes
    one entry of ``order_faults``. ``on_loaded`` is called with the engine once it has
    other weights.
    """

    def __init__(self, name, on_loaded):
        super().__init__(name, model="m", events=STREAM_EVENTS, pause_s=_EVENT_PAUSE_S)
        self.begun = []
        self.hold_s = 0.0
        self.order_faults = []
        self.late_s = 3.0
        self._on_loaded = on_loaded
        self._running = 0
        self._accepted = 0
        self._is_loading = False

    async def answer(self, request, writer):
        if request.path == "/-/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            body = {"models": models, "busy": self._is_loading}
            body |= {"sequence": self._accepted, "born": self.started_ms}
            writer.write(json_response(body))
            return True
        if request.path == "/-/order":
            return await self._answer_order(request, writer)
        return await self._execute(request, writer)

    async def _answer_order(self, request, writer):
        order = request.json()
        self.orders.append(order)
        if not self.order_faults:
            writer.write(response(self._accept(order)))
            return True
        fault = self.order_faults.pop(0)
        if fault is OrderFault.UNANSWERED:
            self._accept(order)
        elif fault is OrderFault.LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._accept, order)
        await request.wait_for_disconnect()
        return False

    def _accept(self, order):
        """Carry an order out if it applies; return the status of the response."""
        if order["version"] == self.version and not self._is_loading:
            return 200
        expected = order.get("expected-revision", self._accepted)
        if self._is_loading or expected != self._accepted:
            return 409
        self._accepted += 1
        self._is_loading = True
        task = asyncio.create_task(self._load(order["version"]))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 202

    async def _load(self, version):
        while self._running:
            await asyncio.sleep(_POLL_S)
        await asyncio.sleep(self.loading_s)
        self.version = version
        self._is_loading = False
        self._on_loaded(self)

    async def _execute(self, request, writer):
        if not self._is_expected(request.headers):
            return self._reject_other(request, writer)
        if not await self._wait_for_slot(request, writer):
            return False
        if self._is_loading:
            return self._reject(request, writer, 503)
        self._running += 1
        try:
            return await self._run(request, writer)
        finally:
            self._running -= 1

    async def _wait_for_slot(self, request, writer):
        """Wait until a request may begin or is rejected; return False if it ended.

        If this process was held up, links have yet to pass on that nodes closed
        connections meanwhile, so requests do not begin right after that.
        """
        loop = asyncio.get_running_loop()
        resumed_s = -math.inf
        due_s = request.arrived_s + self.hold_s
        end_s = request.arrived_s + int(request.headers["x-deadline-ms"]) / 1_000
        while not self._is_loading:
            if request.reader.at_eof() or writer.transport.is_closing():
                return False
            now_s = loop.time()
            if now_s >= end_s:
                return False
            is_held_up = now_s - resumed_s < _HELD_UP_S
            if now_s >= due_s and self._running < _SLOTS and not is_held_up:
                return True
            await asyncio.sleep(_POLL_S)
            if loop.time() - now_s > _HELD_UP_S:
                resumed_s = loop.time()
        return True

    async def _run(self, request, writer):
        request_id = request.headers["x-request-id"]
        now_s = asyncio.get_running_loop().time()
        self.begun.append(Begun(request_id, self.version, request.arrived_s, now_s))
        self.executed_requests.append(request)
        own_headers = [
            ("X-Request-Id", request_id),
            ("X-Weight-Versions", self.version),
            SIGNATURE,
        ]
        return await self._stream(request, writer, ReplicaBehavior.NORMAL, own_headers)
