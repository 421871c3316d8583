"""Measures the naming of a prompt's blocks against one plain hash of its text."""

import hashlib
import time
from collections.abc import Callable

from fireflyward.bench import Bench, Figure
from fireflyward.kept import BlockNames
from fireflyward.upstreams import count_tokens

_PROMPT = "Clause 8.4: connections shall be detailed as follows. " * 8_000
_ROUNDS = 9
_NANOSECONDS_PER_SECOND = 1_000_000_000


def run() -> list[Figure]:
    """Return the time per token and the ratio to SHA-256 over the same bytes."""
    names = BlockNames(b"k" * 32)
    naming_s = _fastest_s(lambda: names.of_prompt("a", "m", "v1", "", _PROMPT))
    hashing_s = _fastest_s(lambda: hashlib.sha256(_PROMPT.encode()).digest())
    per_token_ns = naming_s * _NANOSECONDS_PER_SECOND / count_tokens(_PROMPT)
    return [
        Figure("kept_names.ns_per_token", per_token_ns, "ns"),
        Figure("kept_names.ratio_to_sha256", naming_s / hashing_s, "×"),
    ]


def _fastest_s(function: Callable[[], object]) -> float:
    times_s = []
    for _ in range(_ROUNDS):
        started_s = time.perf_counter()
        function()
        times_s.append(time.perf_counter() - started_s)
    return min(times_s)


BENCH = Bench("kept_names", run, is_count=False)
