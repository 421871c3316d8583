"""Measures in one run all values from which docs/CAPACITY.md is calculated."""

import json
import subprocess
import sys
from dataclasses import dataclass

from benchmarks._entry_setup import start_node
from benchmarks._processes import Process, free_port, wait_for_port

from . import _states
from ._figures import Figures
from ._slopes import Slope

_IDLE_S = 10.0
_ENTRY_COST_REQUESTS = 1_500


@dataclass(frozen=True, slots=True)
class Measurements:
    """Slopes of state and time, bench figures and the costs of a real node."""

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


def measure_all() -> Measurements:
    """Measure all values, which takes a few minutes."""
    idle_mb, idle_private_mb, idle_core_percent = _idle_node()
    request_us, token_us = _entry_cost()
    return Measurements(
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
    """Return the resident MB, the private MB and the percent of a core in use."""
    import time

    port = free_port()
    engine = Process("-m", "benchmarks._fast_engine", str(port))
    wait_for_port(port)
    node, _, other_processes = start_node(f"http://127.0.0.1:{port}")
    time.sleep(2.0)
    before_s = node.cpu_s()
    time.sleep(_IDLE_S)
    used_s = node.cpu_s() - before_s
    figures = node.resident_mb(), node.private_mb(), used_s / _IDLE_S * 100
    for process in (node, engine, *other_processes):
        process.stop()
    return figures


def _entry_cost() -> tuple[float, float]:
    """Return the CPU of a request and of a streamed token, in microseconds.

    The engine sends 20 tokens at once in one measurement and one by one in another,
    which gives two equations for the two costs.
    """
    command = [sys.executable, "-m", "benchmarks.entry_cost", "--json"]
    command += ["--requests", str(_ENTRY_COST_REQUESTS), "--streams", "16"]
    at_once = _node_row(command)
    one_by_one = _node_row([*command, "--gap-ms", "2"])
    token_us = (one_by_one - at_once) / 20
    return at_once, token_us


def _node_row(command: list[str]) -> float:
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    rows = json.loads(completed.stdout.splitlines()[-1])
    return next(row["cpu_us_per_request"] for row in rows if row["way"] == "node")
