"""Measures processor time and memory of a bundle at a node, by number of accounts.

The baseline for times is SHA-256 over one mebibyte, measured in the same call.
Memory is the memory that Python allocated for the bundle state and the holder.
"""

import gc
import hashlib
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from fireflyward.bench import Bench, Figure
from fireflyward.bundles import (
    BundleFollower,
    BundleHolder,
    BundleState,
    NodeObservation,
    NodeStatusTracker,
    sign_bundle,
    verify_change,
)

from .bundle_bytes import APPROVER, AUTHOR, DEPLOYMENT, first_state, make_bundle

_MEBIBYTE = bytes(1 << 20)
_REPEATS = 7
_LOOKUPS = 2_000
_NODES = 350
_TICKS_PER_SECOND = 10


def _run() -> list[Figure]:
    baseline_s = _fastest_s(lambda: hashlib.sha256(_MEBIBYTE).digest())
    figures = []
    for accounts in (100, 1_000, 5_000, 19_000):
        figures += _time_figures(accounts, baseline_s) + _memory_figures(accounts)
    return figures + _idle_figures()


def _idle_figures() -> list[Figure]:
    """Measure the cost of following for one of 350 nodes while no bundle changes."""
    names = [f"node-{index}" for index in range(_NODES - 1)]
    observations = [
        NodeObservation(name, "norte", 1, is_reached=True) for name in names
    ]
    follower, tracker = BundleFollower(poll_ms=2_000, seed=1), NodeStatusTracker()
    follower.on_applied(0, 1, names)
    for name in names:
        follower.on_peer_number(0, name, 1)
    times_ms = iter(range(0, 1 << 30, 100))
    tick_s = _fastest_s(lambda: follower.on_tick(next(times_ms), names))
    observe_s = _fastest_s(lambda: tracker.observe(0, 1, observations))
    core_percent = (tick_s * _TICKS_PER_SECOND + observe_s) * 100
    return [
        Figure(f"bundle_cost.nodes_{_NODES}.tick_us", tick_s * 1e6, "µs"),
        Figure(f"bundle_cost.nodes_{_NODES}.watch_us", observe_s * 1e6, "µs"),
        Figure(f"bundle_cost.nodes_{_NODES}.core_percent", core_percent, "%"),
    ]


def _fastest_s(function: Callable[[], Any]) -> float:
    times_s = []
    for _ in range(_REPEATS):
        started_s = time.perf_counter()
        function()
        times_s.append(time.perf_counter() - started_s)
    return min(times_s)


def _time_figures(accounts: int, baseline_s: float) -> list[Figure]:
    base = first_state(accounts)
    following = make_bundle(accounts, 2, weight_of_first=7)
    signed = sign_bundle(following, author=AUTHOR, approver=APPROVER, base=base)
    verify_s = _fastest_s(lambda: verify_change(signed, base, deployment=DEPLOYMENT))
    holder = BundleHolder()
    holder.update(base.bundle)
    lookup_s = _fastest_s(lambda: _look_up(holder, accounts)) / _LOOKUPS
    prefix = f"bundle_cost.accounts_{accounts}"
    return [
        Figure(f"{prefix}.verify_change_ms", verify_s * 1_000, "ms"),
        Figure(f"{prefix}.verify_change_ratio", verify_s / baseline_s, "×"),
        Figure(f"{prefix}.lookup_us", lookup_s * 1_000_000, "µs"),
    ]


def _look_up(holder: BundleHolder, accounts: int) -> None:
    for index in range(_LOOKUPS):
        holder.account_of_key(f"key-{index * 7_919 % accounts}")


def _memory_figures(accounts: int) -> list[Figure]:
    gc.collect()
    tracemalloc.start()
    state = first_state(accounts)
    holder = BundleHolder()
    holder.update(state.bundle)
    _look_up(holder, accounts)
    state = _next_state(state, accounts)
    holder.update(state.bundle)
    gc.collect()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    objects = make_bundle(accounts)
    memory_with_objects_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert holder.number == state.number and objects.number == 1
    prefix = f"bundle_cost.accounts_{accounts}"
    return [
        Figure(f"{prefix}.memory_per_account", memory_bytes / accounts, "B"),
        Figure(
            f"{prefix}.as_objects",
            (memory_with_objects_bytes - memory_bytes) / accounts,
            "B",
        ),
    ]


def _next_state(state: BundleState, accounts: int) -> BundleState:
    signed = sign_bundle(
        make_bundle(accounts, 2, weight_of_first=7),
        author=AUTHOR,
        approver=APPROVER,
        base=state,
    )
    after = verify_change(signed, state, deployment=DEPLOYMENT)
    assert isinstance(after, BundleState), after
    return after


BENCH = Bench("bundle_cost", _run, is_count=False)
