import asyncio
import socket
import struct
import unittest
from unittest import mock

from fireflyward.peers import CallFailed, Envelope, PeerCodec, PeerLink, pack

KEY = b"k" * 16
LIMIT_S = 30
MESSAGE = Envelope(sender="s", incarnation=1, sequence=1, kind="inner", body=b"m")


class LinkCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(mock.patch("fireflyward.peers._link.log"))
        self.taken = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.server = await self.start("entry-1", incarnation=50)
        self.server.register("k", Envelope, self.take)

    async def start(self, name, *, incarnation=50, key=KEY):
        link = PeerLink(
            node_name=name, incarnation=incarnation, codec=PeerCodec((key,))
        )
        await link.start()
        self.addAsyncCleanup(link.stop)
        return link

    async def take(self, sender, message):
        await self.gate.wait()
        self.taken.append(sender)
        return message

    async def until(self, done):
        async with asyncio.timeout(LIMIT_S):
            while not done():
                await asyncio.sleep(0.005)

    def send_raw(self, frame):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(frame, self.server.address)

    async def call(self, link):
        return await link.call(self.server.address, "k", MESSAGE, Envelope)


class DatagramTests(LinkCase):
    async def test_repeated_datagram_is_taken_once(self):
        """Symptom: an order to leave is obeyed days later. Sequence: somebody on
        the network recorded a datagram and sends it again. Cause: its tag is
        right, and nothing told that it was taken before."""
        envelope = Envelope(
            sender="entry-2", incarnation=1, sequence=9, kind="k", body=pack(MESSAGE)
        )
        frame = PeerCodec((KEY,)).seal(envelope)
        for _ in range(5):
            self.send_raw(frame)
        await self.until(lambda: self.server.dropped["repeated"] == 4)
        self.assertEqual(self.taken, ["entry-2"])

    async def test_foreign_and_malformed_datagrams_are_dropped(self):
        stranger = await self.start("entry-2", key=b"x" * 16)
        stranger.send(self.server.address, "k", MESSAGE)
        self.send_raw(b"")
        self.send_raw(b"\xff" * 900)
        await self.until(lambda: self.server.dropped["frames"] >= 2)
        self.assertEqual(self.taken, [])

    async def test_waiting_handlers_are_bounded(self):
        """Symptom: a node's memory grows until it is killed. Sequence: the
        platform is silent, a handler waits for it, datagrams keep coming. Cause:
        each datagram had a task, and nothing bounded them."""
        self.gate.clear()
        peer = await self.start("entry-2")
        for _ in range(40):
            for _ in range(10):
                peer.send(self.server.address, "k", MESSAGE)
            await asyncio.sleep(0.001)
        await self.until(lambda: self.server.dropped["datagrams"])
        self.assertLessEqual(len(self.server._datagram_tasks), 256)
        self.gate.set()
        await self.until(lambda: not self.server._datagram_tasks)

    async def test_datagram_that_is_too_long_is_not_sent(self):
        peer = await self.start("entry-2")
        long = Envelope(
            sender="s", incarnation=1, sequence=1, kind="", body=b"x" * 2000
        )
        self.assertFalse(peer.send(self.server.address, "k", long))

    async def test_nothing_is_sent_once_the_link_has_stopped(self):
        """Symptom: a node that stops as planned logs a traceback.

        News is told again after a second, and its timer found a closed socket.
        """
        link = await self.start("entry-2")
        await link.stop()
        await asyncio.sleep(0)
        self.assertFalse(link.send(self.server.address, "k", MESSAGE))

    async def test_failing_handler_hurts_nothing_else(self):
        async def fail(sender, message):
            raise ValueError("wrong")

        self.server.register("bad", Envelope, fail)
        peer = await self.start("entry-2")
        peer.send(self.server.address, "bad", MESSAGE)
        failed = await peer.call(self.server.address, "bad", MESSAGE, Envelope)
        self.assertIsInstance(failed, CallFailed)
        self.assertEqual(await self.call(peer), MESSAGE)


class IncarnationTests(LinkCase):
    async def test_call_after_the_wall_clock_was_set_back(self):
        """Symptom: a restarted node learns nothing from its peers. Sequence: its
        wall clock is set back, it restarts, all its frames count as old. Cause:
        its incarnation, taken from the wall clock, is lower than before."""
        first = await self.start("entry-2", incarnation=1_000)
        self.assertEqual(await self.call(first), MESSAGE)
        await first.stop()
        second = await self.start("entry-2", incarnation=10)
        raised = []
        second.on_incarnation_raised = raised.append
        self.assertEqual(await self.call(second), MESSAGE)
        self.assertEqual((second.incarnation, raised), (1_001, [1_001]))

    async def test_datagrams_after_the_wall_clock_was_set_back(self):
        first = await self.start("entry-2", incarnation=1_000)
        self.assertEqual(await self.call(first), MESSAGE)
        second = await self.start("entry-2", incarnation=10)
        second.send(self.server.address, "k", MESSAGE)
        await self.until(lambda: second.incarnation == 1_001)
        second.send(self.server.address, "k", MESSAGE)
        await self.until(lambda: len(self.taken) == 2)


class CallTests(LinkCase):
    async def test_reply_to_another_request_is_not_taken(self):
        async def serve(reader, writer):
            (length,) = struct.unpack("!I", await reader.readexactly(4))
            await reader.readexactly(length)
            envelope = Envelope(
                sender="entry-1",
                incarnation=1,
                sequence=1,
                kind="reply",
                body=pack(MESSAGE),
                reply_to=999,
            )
            frame = PeerCodec((KEY,)).seal(envelope)
            writer.write(struct.pack("!I", len(frame)) + frame)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        peer = await self.start("entry-2")
        address = server.sockets[0].getsockname()
        self.assertIsInstance(
            await peer.call(address, "k", MESSAGE, Envelope), CallFailed
        )

    async def test_oversize_request_is_refused_before_it_is_read(self):
        reader, writer = await asyncio.open_connection(*self.server.address)
        writer.write(struct.pack("!I", 1 << 30))
        async with asyncio.timeout(LIMIT_S):
            self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_slow_peer_is_given_up(self):
        with mock.patch("fireflyward.peers._link._CALL_LIMIT_S", 0.1):
            reader, writer = await asyncio.open_connection(*self.server.address)
            writer.write(b"\x00")
            async with asyncio.timeout(LIMIT_S):
                self.assertEqual(await reader.read(), b"")
            writer.close()

    async def test_connections_are_bounded(self):
        with mock.patch("fireflyward.peers._link._MAX_CONNECTIONS", 1):
            held = await asyncio.open_connection(*self.server.address)
            await self.until(lambda: self.server._connections == 1)
            peer = await self.start("entry-2")
            self.assertIsInstance(await self.call(peer), CallFailed)
            held[1].close()
            await self.until(lambda: self.server._connections == 0)
            self.assertEqual(await self.call(peer), MESSAGE)

    async def test_silent_peer_fails_the_call(self):
        self.gate.clear()
        peer = await self.start("entry-2")
        result = await peer.call(
            self.server.address, "k", MESSAGE, Envelope, timeout_s=0.05
        )
        self.assertIsInstance(result, CallFailed)


class BacklogTests(unittest.IsolatedAsyncioTestCase):
    async def test_all_neighbours_may_ask_in_the_same_moment(self):
        """Symptom: calls of an aggregator time out though it has little to do.

        Thirty-eight neighbours missed the same datagram and each asked for fifteen
        stores. The queue of connections took a hundred; the rest tried again after a
        second, longer than they wait.
        """
        link = PeerLink(node_name="a", incarnation=1, codec=PeerCodec((b"k" * 32,)))
        with mock.patch("asyncio.start_server", wraps=asyncio.start_server) as start:
            await link.start()
        self.addAsyncCleanup(link.stop)
        self.assertGreaterEqual(start.call_args.kwargs["backlog"], 38 * 15)
