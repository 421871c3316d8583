"""Starts, measures and stops the processes of a measurement."""

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_STOP_TIMEOUT_S = 10


class Process:
    """A Python child process whose standard output is read line by line."""

    def __init__(self, *arguments: str, env: dict[str, str] | None = None) -> None:
        # A file, because the child would block on a full pipe that nothing reads.
        self._stderr_file = tempfile.TemporaryFile()
        self._child = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.PIPE,
            stderr=self._stderr_file,
            text=True,
            env={**os.environ, **(env or {})},
        )

    @property
    def pid(self) -> int:
        return self._child.pid

    def read_line(self) -> str:
        """Return the next line of standard output."""
        return self._child.stdout.readline().strip()

    def cpu_s(self) -> float:
        """Return the processor seconds that the child has used."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND

    def resident_mb(self) -> float:
        """Return the resident memory in MB."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * _PAGE_BYTES / 1e6

    def private_mb(self) -> float:
        """Return the resident memory in MB, without that of mapped files."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1_024 / 1e6
        raise LookupError("/proc/PID/status has no RssAnon line")

    def stop(self) -> None:
        """Terminate the child, and kill it if it does not exit in time."""
        self._child.terminate()
        try:
            self._child.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._child.kill()
            self._child.wait()
        self._child.stdout.close()
        self._stderr_file.close()


def wait_for_port(port: int, timeout_s: float = 10.0) -> None:
    """Wait until a process listens on a loopback port."""
    import socket

    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(0.02)
    raise TimeoutError(f"no process listens on port {port}")


def free_port() -> int:
    """Return a loopback port that is free at the time of the call."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
