"""Signals and taken ports of a ``fireflyward serve`` process that starts or ends."""

import asyncio
import signal
import socket
import sys
import unittest

from fireflyward.demo import DOMAINS, DemoDeployment

# Only a test that fails waits as long.
_TIMEOUT_S = 60
# Runs the program, and sends a signal to this process when a module is first imported
# or, with the name "end", after the program.
_SIGNAL_AT = """
import os, runpy, signal, sys
_, at, number, *arguments = sys.argv
# The tests may run in a process that ignores this signal, and children inherit it.
signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.argv[1:] = arguments
def send():
    os.kill(os.getpid(), int(number))
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == at:
            send()
sys.meta_path.insert(0, Finder())
try:
    runpy.run_module("fireflyward", run_name="__main__", alter_sys=True)
finally:
    if at == "end":
        send()
"""
# The first import of the program that takes time, and later ones.
_IMPORTS = ("argparse", "fireflyward.commands._serve", "fireflyward.daemon", "aiohttp")
_LISTENS = "serves callers on port"


class ServeProcessTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=0, engines_per_domain=1)
        )

    async def start(self, *, signal_at="", number=0, **changes):
        flags = self.deployment.flag_values("entry-1", DOMAINS[0])
        flags |= {"port": "0", "peer_port": "0", "balancer_wait_ms": "100", **changes}
        arguments = ["serve"]
        for name, value in flags.items():
            arguments += [f"--{name.replace('_', '-')}", str(value)]
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", _SIGNAL_AT, signal_at, str(int(number))),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 20,
        )
        self.addAsyncCleanup(self.kill, process)
        return process

    async def kill(self, process):
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def read_until(self, process, text):
        lines = []
        async with asyncio.timeout(_TIMEOUT_S):
            while line := await process.stdout.readline():
                lines.append(line.decode())
                if text in lines[-1]:
                    return lines
        raise AssertionError(f"no line {text!r} in:\n{''.join(lines)}")

    async def end(self, process):
        async with asyncio.timeout(_TIMEOUT_S):
            output = await process.stdout.read()
            return await process.wait(), output.decode()

    async def test_a_stop_during_the_start_is_a_planned_stop(self):
        """Guards against an exit by a signal where a stop was requested."""
        for module in _IMPORTS:
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(module, number=number):
                    process = await self.start(signal_at=module, number=number)
                    status, output = await self.end(process)
                    self.assertEqual(status, 0, output)
                    self.assertNotIn(_LISTENS, output)

    async def test_a_signal_after_the_stop_does_not_change_the_status(self):
        """Guards against an exit by a signal once the event loop is closed."""
        process = await self.start(signal_at="end", number=signal.SIGTERM)
        await self.read_until(process, _LISTENS)
        process.send_signal(signal.SIGTERM)
        status, output = await self.end(process)
        self.assertEqual(status, 0, output)

    async def test_signals_without_a_meaning_do_not_end_a_node(self):
        """Guards against a process that ends by a signal meant for something else."""
        process = await self.start(signal_at="aiohttp", number=signal.SIGUSR1)
        await self.read_until(process, _LISTENS)
        for number in (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM):
            process.send_signal(number)
            await self.read_until(process, f"{number.name} received")

    async def test_a_hang_up_is_a_planned_stop(self):
        """Guards against requests that are cut since a terminal was closed."""
        process = await self.start()
        await self.read_until(process, _LISTENS)
        process.send_signal(signal.SIGHUP)
        status, output = await self.end(process)
        self.assertEqual(status, 0, output)

    async def test_a_port_that_becomes_free_is_used(self):
        """Guards against a start that ends since the last process holds its port."""
        for flag, kind in (
            ("port", socket.SOCK_STREAM),
            ("peer_port", socket.SOCK_STREAM),
            ("peer_port", socket.SOCK_DGRAM),
        ):
            with self.subTest(flag, kind=kind), socket.socket(type=kind) as owner:
                owner.bind(("127.0.0.1", 0))
                if kind == socket.SOCK_STREAM:
                    owner.listen()
                process = await self.start(**{flag: owner.getsockname()[1]})
                await self.read_until(process, "in use")
                owner.close()
                await self.read_until(process, _LISTENS)

    async def test_a_stop_while_a_port_is_taken_is_a_planned_stop(self):
        """Guards against a start that cannot be stopped while it waits for a port."""
        with socket.create_server(("127.0.0.1", 0)) as owner:
            process = await self.start(port=owner.getsockname()[1])
            await self.read_until(process, "in use")
            process.send_signal(signal.SIGTERM)
            status, output = await self.end(process)
            self.assertEqual(status, 0, output)
