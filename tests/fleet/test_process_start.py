"""What a start needs, what it waits for, and how it ends without it."""

import asyncio
import contextlib
import os
import signal
import socket

from tests.soak._ports import free_ports

from .process_fixtures import ProcessTestCase


def address_of(owner):
    return "{}:{}".format(*owner.getsockname())


class TakenPortTests(ProcessTestCase):
    def listen_fields(self, **addresses):
        return self.settings()["listen"] | addresses

    async def test_a_port_that_becomes_free_is_used(self):
        """Guards against a start that ends since the last process holds its port."""
        for field in ("front", "readiness"):
            with self.subTest(field):
                owner = self.taken_port()
                address = address_of(owner)
                self.write_settings(listen=self.listen_fields(**{field: address}))
                node = await self.start()
                self.assertIn(address, await node.line("in use"))
                owner.close()
                await node.line("listens")

    async def test_a_stop_while_a_port_is_taken_is_a_planned_stop(self):
        """Guards against a start that cannot be stopped while it waits for a port."""
        owner = self.taken_port()
        self.write_settings(listen=self.listen_fields(front=address_of(owner)))
        node = await self.start()
        await node.line("in use")
        self.assertEqual(await self.stop(node), 0)

    async def test_a_port_that_stays_taken_ends_the_start_with_its_address(self):
        """Guards against a start that ends without naming the address."""
        owner = self.taken_port()
        self.write_settings(listen=self.listen_fields(front=address_of(owner)))
        node = await self.start()
        self.assertIn(address_of(owner), await node.line("ends with status 1"))
        self.assertEqual(await node.status(), 1)
        self.assertNotIn("Traceback", "".join(node.lines))

    async def test_a_taken_metrics_port_does_not_keep_a_node_from_serving(self):
        """Guards against a node that does not start for the sake of its metrics."""
        (port,) = free_ports(1)
        owner = socket.socket()
        self.addCleanup(owner.close)
        owner.bind(("127.0.0.1", port + 1))
        owner.listen()
        self.write_settings(ports=(0, 0, port))
        node = await self.start()
        await node.line("listens")
        self.assertIn(address_of(owner), await node.line("metrics"))


class IncompleteSettingsTests(ProcessTestCase):
    async def test_settings_that_are_completed_are_read_again(self):
        """Guards against a start that ends since its settings are being written."""
        whole = self.settings_text()
        for part in ("", whole[: len(whole) // 2], None):
            with self.subTest(part=part):
                self.path.unlink(missing_ok=True)
                if part is not None:
                    self.path.write_text(part)
                node = await self.start()
                await node.line("read again")
                self.write_settings()
                await node.line("listens")

    async def test_a_stop_while_the_settings_are_incomplete_is_a_planned_stop(self):
        """Guards against a start that cannot be stopped while it waits for settings."""
        self.path.write_text("")
        node = await self.start()
        await node.line("read again")
        self.assertEqual(await self.stop(node), 0)

    async def test_settings_that_stay_incomplete_end_the_start(self):
        self.path.write_text("{")
        node = await self.start()
        self.assertEqual(await node.status(), 2)
        self.assertIn("ends with status 2", "".join(node.lines))


class EnvironmentTests(ProcessTestCase):
    async def wait_until_alive(self, node, port):
        """Wait until the readiness address responds; its status may be 503."""
        while not node.has_ended:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.01)
            else:
                writer.close()
                return
        self.fail("the process ended")

    async def test_closed_standard_streams_do_not_end_a_start(self):
        """Guards against a start that needs somewhere to write its log to."""
        for redirect in ("2>&-", ">&-", "<&- >&- 2>&-"):
            with self.subTest(redirect):
                (port,) = free_ports(1)
                address = f"127.0.0.1:{port}"
                listen = self.settings()["listen"] | {"readiness": address}
                self.write_settings(listen=listen)
                node = await self.start(redirect=redirect)
                await self.wait_until_alive(node, port)
                self.assertEqual(await self.stop(node), 0)

    async def test_neither_a_home_nor_a_temporary_folder_is_needed(self):
        """Guards against a start that fails on a machine with a bare environment."""
        # No file can be created below another file, whoever runs this test.
        folder = self.path / "none"
        node = await self.start(HOME="", TMPDIR=str(folder))
        await node.line("listens")
        node.signal(signal.SIGTERM)
        self.assertEqual(await node.status(), 0)

    async def test_a_log_that_nobody_reads_changes_no_status(self):
        """Guards against a start that fails, or waits, for the sake of its log."""
        for is_closed in (False, True):
            with self.subTest(is_closed=is_closed):
                output = self.full_pipe(is_closed=is_closed)
                (port,) = free_ports(1)
                listen = self.settings()["listen"] | {"readiness": f"127.0.0.1:{port}"}
                self.write_settings(listen=listen)
                node = await self.start(output=output)
                await self.wait_until_alive(node, port)
                self.assertEqual(await self.stop(node), 0)
                self.write_settings(zone=7)
                node = await self.start(output=output)
                self.assertEqual(await node.status(), 2)

    def full_pipe(self, *, is_closed):
        """Return a descriptor to write to, whose reader waits or is closed."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        if is_closed:
            os.close(reader)
            return writer
        self.addCleanup(os.close, reader)
        os.set_blocking(writer, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, bytes(1_024))
        return writer
