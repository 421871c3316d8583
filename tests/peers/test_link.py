import asyncio
import socket
import struct
import unittest
from unittest import mock

from fireflyward.clock import ManualClock, Standstills
from fireflyward.peers import (
    CallFailed,
    Envelope,
    PeerCodec,
    PeerLink,
    new_incarnation,
    pack,
)

KEY = b"k" * 16
LIMIT_S = 30
MESSAGE = Envelope(sender="s", incarnation=1, sequence=1, kind="inner", body=b"m")


class LinkTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(mock.patch("fireflyward.peers._link.log"))
        self.received_senders = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.server = await self.start("entry-1", incarnation=50)
        self.server.register("k", Envelope, self.handle)

    async def start(self, name, *, incarnation=50, key=KEY, **options):
        link = PeerLink(
            node_name=name,
            incarnation=incarnation,
            codec=PeerCodec((key,)),
            **options,
        )
        await link.start()
        self.addAsyncCleanup(link.stop)
        return link

    async def handle(self, sender, message):
        await self.gate.wait()
        self.received_senders.append(sender)
        return message

    async def wait_until(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.005)

    def send_raw(self, frame):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(frame, self.server.address)

    async def call(self, link):
        return await link.call(self.server.address, "k", MESSAGE, Envelope)


class DatagramTests(LinkTestCase):
    async def test_repeated_datagram_is_handled_once(self):
        """Guards against a recorded order to leave that is executed days later.

        An attacker on the network records a datagram and sends it again. Its tag is
        valid, so the node must detect that it has already handled the datagram.
        """
        envelope = Envelope(
            sender="entry-2", incarnation=1, sequence=9, kind="k", body=pack(MESSAGE)
        )
        frame = PeerCodec((KEY,)).seal(envelope)
        for _ in range(5):
            self.send_raw(frame)
        await self.wait_until(lambda: self.server.dropped["repeated"] == 4)
        self.assertEqual(self.received_senders, ["entry-2"])

    async def test_wrongly_signed_and_malformed_datagrams_are_dropped(self):
        stranger = await self.start("entry-2", key=b"x" * 16)
        stranger.send(self.server.address, "k", MESSAGE)
        self.send_raw(b"")
        self.send_raw(b"\xff" * 900)
        await self.wait_until(lambda: self.server.dropped["frames"] >= 2)
        self.assertEqual(self.received_senders, [])

    async def test_waiting_handlers_are_bounded(self):
        """Guards against a node whose memory grows until the node is killed.

        The platform does not answer, handlers wait for it, and datagrams keep arriving.
        Each datagram has a task, so the number of tasks must be bounded.
        """
        self.gate.clear()
        peer = await self.start("entry-2")
        for _ in range(40):
            for _ in range(10):
                peer.send(self.server.address, "k", MESSAGE)
            await asyncio.sleep(0.001)
        await self.wait_until(lambda: self.server.dropped["datagrams"])
        self.assertLessEqual(len(self.server._datagram_tasks), 256)
        self.gate.set()
        await self.wait_until(lambda: not self.server._datagram_tasks)

    async def test_datagram_that_is_too_long_is_not_sent(self):
        peer = await self.start("entry-2")
        long = Envelope(
            sender="s", incarnation=1, sequence=1, kind="", body=b"x" * 2000
        )
        self.assertFalse(peer.send(self.server.address, "k", long))
        self.assertEqual(peer.dropped["oversized datagrams of kind k"], 1)

    async def test_an_invalid_address_closes_no_socket(self):
        """Guards against a node whose datagram socket is closed for good."""
        peer = await self.start("entry-2")
        invalid = [
            ("127.0.0.1", 70_000),
            ("127.0.0.1", 0),
            ("127.0.0.1", -1),
            ("a\0b", 80),
            ("h" * 300, 80),
            ("..", 80),
            ("", 80),
        ]
        peer.send_all([*invalid, self.server.address], "k", MESSAGE)
        await self.wait_until(lambda: self.received_senders)
        self.assertEqual(peer.dropped["datagrams to invalid addresses"], len(invalid))
        for address in invalid:
            answer = await peer.call(address, "k", MESSAGE, Envelope)
            self.assertIsInstance(answer, CallFailed)
        self.assertEqual(await self.call(peer), MESSAGE)

    async def test_a_link_without_names_looks_none_up(self):
        """Guards against an event loop that waits for look-ups of a message's text."""
        peer = await self.start("entry-2", allows_names=False)
        with mock.patch.object(socket, "getaddrinfo", side_effect=AssertionError):
            self.assertTrue(peer.send(("127.0.0.1", 9), "k", MESSAGE))
            peer.send_all([("localhost", 9), ("1", 9)], "k", MESSAGE)
        self.assertEqual(peer.dropped["datagrams to invalid addresses"], 2)

    async def test_nothing_is_sent_after_the_link_has_stopped(self):
        """Guards against a traceback in the log of a node that stops as planned.

        Messages are sent again after a second. The timer must not use the closed
        socket.
        """
        link = await self.start("entry-2")
        await link.stop()
        await asyncio.sleep(0)
        self.assertFalse(link.send(self.server.address, "k", MESSAGE))

    async def test_failing_handler_does_not_affect_other_handlers(self):
        async def fail(sender, message):
            raise ValueError("wrong")

        self.server.register("bad", Envelope, fail)
        peer = await self.start("entry-2")
        peer.send(self.server.address, "bad", MESSAGE)
        failed = await peer.call(self.server.address, "bad", MESSAGE, Envelope)
        self.assertIsInstance(failed, CallFailed)
        self.assertEqual(await self.call(peer), MESSAGE)


class IncarnationTests(LinkTestCase):
    async def test_call_after_the_wall_clock_was_set_back(self):
        """Guards against a restarted node that gets no reply from its peers.

        The wall clock of the node is set back and the node restarts. Its incarnation,
        which it reads from the wall clock, is lower than before, so its peers
        consider all its frames old.
        """
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
        await self.wait_until(lambda: second.incarnation == 1_001)
        second.send(self.server.address, "k", MESSAGE)
        await self.wait_until(lambda: len(self.received_senders) == 2)

    async def test_call_of_an_instance_that_starts_in_the_same_millisecond(self):
        """Guards against frames that are dropped as those of an earlier instance.

        Two instances of a node start at the same time of the wall clock. With one
        incarnation, the sequence numbers of the second one were received before.
        """
        clock = ManualClock(wall_offset_ms=1_790_000_000_000)
        first = await self.start("entry-2", incarnation=new_incarnation(clock))
        for _ in range(3):
            self.assertEqual(await self.call(first), MESSAGE)
        await first.stop()
        second = await self.start("entry-2", incarnation=new_incarnation(clock))
        self.assertEqual(await self.call(second), MESSAGE)


class CallTests(LinkTestCase):
    async def test_reply_to_another_request_is_not_accepted(self):
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

    async def test_oversize_request_is_rejected_before_it_is_read(self):
        reader, writer = await asyncio.open_connection(*self.server.address)
        writer.write(struct.pack("!I", 1 << 30))
        async with asyncio.timeout(LIMIT_S):
            self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_connection_of_a_slow_peer_times_out(self):
        with mock.patch("fireflyward.peers._link._CALL_TIMEOUT_S", 0.1):
            reader, writer = await asyncio.open_connection(*self.server.address)
            writer.write(b"\x00")
            async with asyncio.timeout(LIMIT_S):
                self.assertEqual(await reader.read(), b"")
            writer.close()

    async def test_connections_are_bounded(self):
        with mock.patch("fireflyward.peers._link._MAX_CONNECTIONS", 1):
            held = await asyncio.open_connection(*self.server.address)
            await self.wait_until(lambda: self.server._connection_count == 1)
            peer = await self.start("entry-2")
            self.assertIsInstance(await self.call(peer), CallFailed)
            held[1].close()
            await self.wait_until(lambda: self.server._connection_count == 0)
            self.assertEqual(await self.call(peer), MESSAGE)

    async def test_a_call_whose_caller_has_gone_is_not_handled(self):
        """Guards against work for calls that waited while this process stood still.

        Each of them held one of the connections that are served at once, and opened a
        tunnel to a replica that nobody used.
        """
        address = self.server.address
        frame = PeerCodec((KEY,)).seal(
            Envelope(
                sender="entry-2",
                incarnation=1,
                sequence=9,
                kind="k",
                body=pack(MESSAGE),
            )
        )
        with socket.create_connection(address) as caller:
            caller.sendall(struct.pack("!I", len(frame)) + frame)
        served = self.server._tasks
        await self.wait_until(lambda: self.server.bytes_received)
        await self.wait_until(lambda: not served)
        self.assertEqual(self.received_senders, [])

    async def test_silent_peer_fails_the_call(self):
        self.gate.clear()
        peer = await self.start("entry-2")
        result = await peer.call(
            self.server.address, "k", MESSAGE, Envelope, timeout_s=0.05
        )
        self.assertIsInstance(result, CallFailed)


class DelayedDatagramTests(LinkTestCase):
    """A process that did not run reads what other nodes sent meanwhile."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.clock = ManualClock(100_000)
        self.standstills = Standstills(clock=self.clock)
        self.standstills.on_tick(self.clock.now_ms())
        self.handled = []
        self.peer = await self.start("entry-2")
        self.woken = await self.start_woken(
            lambda: self.standstills.has_backlog(self.clock.now_ms())
        )

    async def start_woken(self, has_backlog):
        link = await self.start("entry-3", has_backlog=has_backlog)
        link.register("load", Envelope, self.record("load"), expires=True)
        link.register("crash", Envelope, self.record("crash"))
        link.register(
            "notice",
            Envelope,
            self.record("notice"),
            expires=True,
            handle_delayed=self.record("delayed notice"),
        )
        return link

    def record(self, name):
        async def handle(sender, message):
            self.handled.append(name)

        return handle

    def send(self, *kinds):
        for kind in kinds:
            self.peer.send(self.woken.address, kind, MESSAGE)

    def stand_still(self, duration_ms):
        self.clock._now_ms += duration_ms

    async def test_messages_that_expire_are_dropped_after_a_standstill(self):
        """Guards against reports from before a standstill that count as new ones."""
        self.send("load", "crash", "notice")
        self.stand_still(8_000)
        await self.wait_until(lambda: len(self.handled) == 2)
        self.assertEqual(self.handled, ["crash", "delayed notice"])
        self.assertEqual(self.woken.dropped["delayed datagrams"], 1)

    async def test_all_that_waited_is_recognized_however_long_reading_takes(self):
        """Guards against a backlog that is read for longer than it is recognized."""
        first_reads = iter([True])
        self.woken = await self.start_woken(lambda: next(first_reads, False))
        self.send(*["load"] * 50, "crash")
        await self.wait_until(lambda: self.handled)
        self.assertEqual(self.handled, ["crash"])
        self.assertEqual(self.woken.dropped["delayed datagrams"], 50)

    async def test_messages_that_arrive_later_are_handled(self):
        self.stand_still(8_000)
        self.standstills.on_tick(self.clock.now_ms())
        self.stand_still(200)
        self.send("load", "notice")
        await self.wait_until(lambda: len(self.handled) == 2)
        self.assertEqual(sorted(self.handled), ["load", "notice"])
        self.assertEqual(self.woken.dropped["delayed datagrams"], 0)


class BacklogTests(unittest.IsolatedAsyncioTestCase):
    async def test_backlog_holds_simultaneous_requests_of_all_neighbours(self):
        """Guards against calls to an aggregator that time out without any load.

        After the same lost datagram, each of 38 neighbours requested 15 stores at once.
        With a listen backlog of 100 connections, the kernel retried the others after 1
        s, when their callers had already timed out.
        """
        link = PeerLink(node_name="a", incarnation=1, codec=PeerCodec((b"k" * 32,)))
        with mock.patch("asyncio.start_server", wraps=asyncio.start_server) as start:
            await link.start()
        self.addAsyncCleanup(link.stop)
        self.assertGreaterEqual(start.call_args.kwargs["backlog"], 38 * 15)


class HalfOpenLinkTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_link_whose_second_port_is_taken_holds_no_socket(self):
        """Guards against a link that takes its own TCP port from its next start."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as owner:
            owner.bind(("127.0.0.1", 0))
            address = owner.getsockname()
            link = PeerLink(
                node_name="entry-1",
                incarnation=1,
                codec=PeerCodec((KEY,)),
                port=address[1],
            )
            for _ in range(2):
                with self.assertRaises(OSError):
                    await link.start()
                with socket.create_server(address):
                    pass
        await link.start()
        self.addAsyncCleanup(link.stop)
        self.assertEqual(link.address, address)

    async def test_a_free_port_is_chosen_anew_after_a_failed_start(self):
        """Guards against a link that insists on a port that it chose itself."""
        link = PeerLink(node_name="entry-1", incarnation=1, codec=PeerCodec((KEY,)))
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "create_datagram_endpoint", side_effect=OSError):
            with self.assertRaises(OSError):
                await link.start()
        self.assertEqual(link.address[1], 0)
        await link.start()
        self.addAsyncCleanup(link.stop)
