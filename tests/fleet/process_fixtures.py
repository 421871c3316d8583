"""Nodes as processes, whose log lines a test waits for."""

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from tests.platform_standins import settings_text

# Only a test that fails waits as long.
_LINE_TIMEOUT_S = 60
# Nothing listens at this port of the store.
NO_STORE = "127.0.0.1:9"
# Runs the program, and sends a signal to this process when a module is first imported
# or, with the name "end", after the program.
_SIGNAL_AT = """
import os, runpy, sys
_, at, *numbers = sys.argv
def send():
    for number in numbers:
        os.kill(os.getpid(), int(number))
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == at:
            send()
sys.meta_path.insert(0, Finder())
try:
    runpy.run_module("fireflyward.fleet", run_name="__main__", alter_sys=True)
finally:
    if at == "end":
        send()
"""


class NodeProcess:
    """A process of a node, and the lines that it has written."""

    def __init__(self, process):
        self._process = process
        self.lines = []

    @property
    def has_ended(self):
        return self._process.returncode is not None

    def signal(self, number):
        self._process.send_signal(number)

    async def line(self, text):
        """Return the next line that contains a text; fail if the output ends before."""
        try:
            async with asyncio.timeout(_LINE_TIMEOUT_S):
                while raw := await self._process.stdout.readline():
                    self.lines.append(raw.decode())
                    if text in self.lines[-1]:
                        return self.lines[-1]
        except TimeoutError:
            pass
        raise AssertionError(f"no line {text!r} in:\n{''.join(self.lines)}")

    async def status(self):
        """Wait for the end of the process and return its exit status."""
        async with asyncio.timeout(_LINE_TIMEOUT_S):
            if self._process.stdout is not None:
                output = await self._process.stdout.read()
                self.lines += output.decode().splitlines(keepends=True)
            return await self._process.wait()

    async def kill(self):
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a node as a process, with settings that a test may write itself."""

    async def asyncSetUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = self.folder / "settings.json"
        self.write_settings()

    def settings_text(self, ports=(0, 0, 0), **changes):
        return settings_text(NO_STORE, ports, **changes)

    def write_settings(self, ports=(0, 0, 0), **changes):
        # The file is replaced as a whole, so that no process reads a part of it.
        whole = self.folder / "whole.json"
        whole.write_text(self.settings_text(ports, **changes))
        whole.rename(self.path)

    def settings(self, **changes):
        return json.loads(self.settings_text(**changes))

    async def start(
        self, *, signal_at=None, numbers=(), redirect="", output=None, **changes
    ):
        """Start a process, with changes of its environment.

        ``redirect`` is added to its shell command. ``output`` is the descriptor for its
        standard output and standard error, in place of a pipe that is read.
        """
        command = [sys.executable, "-m", "fireflyward.fleet"]
        if signal_at is not None:
            command = [sys.executable, "-c", _SIGNAL_AT, signal_at]
            command += [str(int(number)) for number in numbers]
        environment = {**os.environ, "FIREFLYWARD_BOOT": str(self.path), **changes}
        process = await asyncio.create_subprocess_shell(
            f"exec {shlex.join(command)} {redirect}",
            env={name: value for name, value in environment.items() if value},
            stdout=asyncio.subprocess.PIPE if output is None else output,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 20,
        )
        node = NodeProcess(process)
        self.addAsyncCleanup(node.kill)
        return node

    async def stop(self, node):
        """Stop a node that serves; return its exit status."""
        node.signal(signal.SIGTERM)
        return await node.status()

    def taken_port(self, kind=socket.SOCK_STREAM):
        """Return a socket that takes a port of 127.0.0.1."""
        owner = socket.socket(socket.AF_INET, kind)
        self.addCleanup(owner.close)
        owner.bind(("127.0.0.1", 0))
        if kind == socket.SOCK_STREAM:
            owner.listen()
        return owner
