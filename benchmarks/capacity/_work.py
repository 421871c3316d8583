"""Everything that the page is worked out from, measured in one run."""

import json
import subprocess
import sys
from dataclasses import dataclass

from benchmarks._entry_setup import node_before
from benchmarks._processes import Process, free_port, wait_for_port

from . import _states
from ._figures import Figures
from ._slopes import Slope

_IDLE_S = 10.0
_ENTRY_REQUESTS = 1_500


@dataclass(frozen=True, slots=True)
class Measured:
    """Slopes of state and time, figures of the benches, and a real idle node."""

    figures: Figures
    router_bytes: Slope
    choice_us: Slope
    members_bytes: Slope
    admission_bytes: Slope
    prefix_record_bytes: float
    idle_mb: float
    idle_private_mb: float
    idle_core_percent: float
    request_us: float
    token_us: float


def measure_all() -> Measured:
    """Measure; takes a few minutes."""
    idle_mb, idle_private_mb, idle_core_percent = _idle_node()
    request_us, token_us = _entry_cost()
    return Measured(
        Figures(),
        _states.router_bytes(),
        _states.choice_us(),
        _states.members_bytes(),
        _states.admission_bytes(),
        _states.prefix_record_bytes(),
        idle_mb,
        idle_private_mb,
        idle_core_percent,
        request_us,
        token_us,
    )


def _idle_node() -> tuple[float, float, float]:
    """Return memory in MB, the private part of it, and the share of a core."""
    import time

    port = free_port()
    engine = Process("-m", "benchmarks._fast_engine", str(port))
    wait_for_port(port)
    node, _, others = node_before(f"http://127.0.0.1:{port}")
    time.sleep(2.0)
    before_s = node.cpu_s()
    time.sleep(_IDLE_S)
    used_s = node.cpu_s() - before_s
    figures = node.resident_mb(), node.private_mb(), used_s / _IDLE_S * 100
    for process in (node, engine, *others):
        process.end()
    return figures


def _entry_cost() -> tuple[float, float]:
    """Return the CPU of a request and of a streamed token, in microseconds.

    Two kinds of answer, of 20 tokens that come at once and of 20 that come one by
    one, give two equations for the two costs.
    """
    command = [sys.executable, "-m", "benchmarks.entry_cost", "--json"]
    command += ["--requests", str(_ENTRY_REQUESTS), "--streams", "16"]
    at_once = _node_row(command)
    one_by_one = _node_row([*command, "--gap-ms", "2"])
    token_us = (one_by_one - at_once) / 20
    return at_once, token_us


def _node_row(command: list[str]) -> float:
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    rows = json.loads(done.stdout.splitlines()[-1])
    return next(row["cpu_us_per_request"] for row in rows if row["way"] == "node")
