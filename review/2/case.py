"""A node gets SIGTERM while callers upload bodies on channels that they kept.

Forty callers keep one channel each to the node. Each sends a request of 600 KB about
every four seconds, which takes it half a second. After the SIGTERM no caller opens a
channel to the node any more, as behind the platform's balancer.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.node import SETTINGS, Node  # noqa: E402
from review.common.record import Record  # noqa: E402
from tests.platform_standins import Operator, ReplicaStandIn, StoreStandIn  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_BODY_BYTES = 4_194_304
BODY_BYTES = 600_000
UPLOAD_S = 0.5
PIECES = 20
CALLERS = 40
PERIOD_S = 4.0
WORK_S = 0.09
# Callers' time limit and the route's timeout; neither is reached.
LIMIT_MS = 15_000
# run.sh turns it into 1. Python itself ends with 1 after any unexpected error.
BROKEN = 10
RUN_LIMIT_S = 90.0
CALM_S = 6.0
GRACE_S = SETTINGS["bounds"]["grace-s"]
SLACK_S = SETTINGS["bounds"]["lost-slack-ms"] / 1_000
EXIT_TIMEOUT_S = GRACE_S + 1.0


class WorkingReplica(ReplicaStandIn):
    """A sound plain replica that works for ``WORK_S`` on each request."""

    def __init__(self, incarnation, record):
        super().__init__(incarnation)
        self._record = record

    async def _plain(self, request, writer, behavior, own_headers):
        request_id = request.headers["x-request-id"]
        self._record.add(f"{self.incarnation} runs {request_id}")
        await asyncio.sleep(WORK_S)
        return await super()._plain(request, writer, behavior, own_headers)


class Case:
    """One run with its stand-ins, its node and its callers."""

    def __init__(self, folder, record):
        self.record = record
        self.store = StoreStandIn()
        self.operator = Operator(self.store)
        self.replicas = [WorkingReplica(f"i-{n}", record) for n in range(4)]
        self.folder = folder
        self.node = None
        self.term_s = None
        self.answered = 0
        self.lost = []
        self.excused = 0

    async def start(self):
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            entry = json.loads(replica.entry("plain", zone="gebze-1"))
            entry["slots"] = 64
            self.store.put("servers", replica.incarnation, json.dumps(entry).encode())
        for route in self.operator.configuration["routes"]:
            route["timeout-ms"] = LIMIT_MS
        for service in self.operator.configuration["services"]:
            service["max-connections"] = 110
        limits = {**self.operator.configuration["limits"]}
        limits["max-body-bytes"] = MAX_BODY_BYTES
        self.operator.configure(limits=limits)
        self.node = Node("edge-gebze-1-1", "gebze-1", self.folder, self.store.address)
        await self.node.start()
        await self.node.wait_until_ready()
        self.record.add("node ready")

    async def run(self):
        callers = [asyncio.create_task(self._call(n)) for n in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        if HAS_TROUBLE:
            self.term_s = self.record.now_s()
            self.record.add("platform sends SIGTERM to the node")
            self.node.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(EXIT_TIMEOUT_S):
                    code = await self.node.process.wait()
                self.record.add(f"node exits with {code}")
            except TimeoutError:
                self.record.add("platform sends SIGKILL to the node")
                await self.node.kill()
            await asyncio.sleep(0.5)
        else:
            await asyncio.sleep(EXIT_TIMEOUT_S)
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)

    async def stop(self):
        if self.node is not None:
            await self.node.kill()
        for server in (*self.replicas, self.store):
            await server.stop()

    async def _call(self, number):
        chance = random.Random(number)
        await asyncio.sleep(chance.random() * PERIOD_S)
        sent = 0
        while self.term_s is None:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.node.callers_port
            )
            is_open = True
            while is_open:
                sent += 1
                is_open = await self._send(f"c{number}-{sent}", reader, writer)
                if is_open:
                    await asyncio.sleep(PERIOD_S * (0.7 + 0.4 * chance.random()))
            writer.close()

    async def _send(self, request_id, reader, writer):
        """Send one request; return whether its channel can be used again."""
        begun_s = self.record.now_s()
        self.record.add(f"caller begins {request_id}")
        last_byte_s = None
        try:
            writer.write(_head(request_id))
            for _ in range(PIECES):
                writer.write(b"x" * (BODY_BYTES // PIECES))
                await writer.drain()
                await asyncio.sleep(UPLOAD_S / PIECES)
            last_byte_s = self.record.now_s()
            self.record.add(f"caller has sent all of {request_id}")
            head = await reader.readuntil(b"\r\n\r\n")
            status, length, is_kept = _decode_head(head)
            await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError) as error:
            self._on_end(request_id, begun_s, last_byte_s, error)
            return False
        self.record.add(f"{request_id} answered {status}")
        self.answered += 1
        return is_kept

    def _on_end(self, request_id, begun_s, last_byte_s, error):
        """Judge a channel that ended without a complete answer.

        A channel that is closed with unread bytes is reset (DEPLOY.md, Network), so an
        end without a reset shows that the process had read all that was sent.
        """
        waited_s = None if last_byte_s is None else self.record.now_s() - last_byte_s
        is_clean = isinstance(error, asyncio.IncompleteReadError)
        # The rule holds around the stop, and not once the time limit was reached.
        now_s = self.record.now_s()
        is_around_stop = self.term_s is not None and now_s <= (
            self.term_s + GRACE_S + 1
        )
        is_in_time = now_s - begun_s < LIMIT_MS / 1_000
        is_late = waited_s is not None and waited_s > SLACK_S
        is_lost = is_late and is_clean and is_around_stop and is_in_time
        if waited_s is None:
            text = "before its last byte was sent"
        else:
            text = f"{waited_s:.3f} s after its last byte"
        kind = "closed" if is_clean else f"ends with {type(error).__name__}"
        self.record.add(f"channel of {request_id} {kind} {text}")
        if is_lost:
            self.lost.append(request_id)
        else:
            self.excused += 1


def _head(request_id):
    lines = (
        "POST /w/x HTTP/1.1",
        "Host: h.example",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {LIMIT_MS}",
        "Authorization: Bearer key-1",
        f"Content-Length: {BODY_BYTES}",
    )
    return "\r\n".join([*lines, "", ""]).encode()


def _decode_head(head):
    """Return status, length of the body and whether the channel stays open."""
    status_line, *lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    is_kept = fields.get("connection", "").lower() != "close"
    return int(status_line.split()[1]), int(fields.get("content-length", 0)), is_kept


async def main():
    """Return ``BROKEN`` if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        case = Case(folder, record)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                await case.start()
                await case.run()
        except Exception as error:
            # Whatever goes wrong in the script itself says nothing of the rule.
            record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await case.stop()
    if not case.answered:
        return 2
    verdict = "rule LOST broken" if case.lost else "rule held"
    summary = (
        f"{verdict}: {case.answered} answered, {len(case.lost)} read whole and never "
        f"answered ({', '.join(case.lost)}), {case.excused} other ends of channels"
    )
    record.add(summary)
    print(summary)
    record.close()
    return BROKEN if case.lost else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
