"""What a node's program costs before it serves: memory by import, and start time.

    python -m benchmarks.footprint

Each line is a fresh process; ``start`` runs a real node until it answers /readyz.
"""

import subprocess
import sys
import time
import urllib.request

from ._entry_setup import node_before
from ._processes import Process, free_port, wait_for_port

_IMPORTS = (
    "",
    "msgspec",
    "thriftpy2",
    "aiohttp",
    "cryptography.hazmat.primitives.asymmetric.ed25519",
    "hdrh.histogram",
    "opentelemetry.sdk.trace.export",
    "fireflyward.daemon",
)
_REPORT = (
    "import sys,time;b=time.perf_counter()\n{statement}\n"
    "t=time.perf_counter()-b\n"
    "p=int(open('/proc/self/statm').read().split()[1])*4096/1e6\n"
    "print(f'{{p:.1f}} {{t*1e3:.0f}}')"
)
_ENGINE_MODULE = "benchmarks._fast_engine"
_THRIFT_ROUNDS = 20_000


def main() -> int:
    """Print the table."""
    print(f"{'imported':<52} {'MB':>7} {'ms':>6}")
    for name in _IMPORTS:
        statement = f"import {name}" if name else "pass"
        done = subprocess.run(
            [sys.executable, "-c", _REPORT.format(statement=statement)],
            capture_output=True,
            text=True,
            check=True,
        )
        memory, duration = done.stdout.split()
        print(f"{name or '(bare interpreter)':<52} {memory:>7} {duration:>6}")
    _print_start()
    _print_codec()
    return 0


def _print_start() -> None:
    port = free_port()
    engine = Process("-m", _ENGINE_MODULE, str(port))
    wait_for_port(port)
    began = time.monotonic()
    node, node_port, others = node_before(f"http://127.0.0.1:{port}")
    platform_and_node_s = time.monotonic() - began
    url = f"http://127.0.0.1:{node_port}/readyz"
    with urllib.request.urlopen(url) as answer:
        assert answer.status == 200
    print(f"{'node serving, idle':<52} {node.resident_mb():>7.1f}")
    print(f"platform and node until ready: {platform_and_node_s:.2f} s")
    for process in (node, engine, *others):
        process.end()


def _print_codec() -> None:
    from fireflyward.peers import pack, unpack
    from fireflyward.peers._codec import Envelope

    envelope = Envelope(
        sender="entry-1", incarnation=1, sequence=2, kind="heartbeat", body=b"x" * 64
    )
    began = time.perf_counter()
    for _ in range(_THRIFT_ROUNDS):
        packed = pack(envelope)
    middle = time.perf_counter()
    for _ in range(_THRIFT_ROUNDS):
        unpack(Envelope, packed)
    ended = time.perf_counter()
    encode_us = (middle - began) / _THRIFT_ROUNDS * 1e6
    decode_us = (ended - middle) / _THRIFT_ROUNDS * 1e6
    print(f"thriftpy2 binary: encode {encode_us:.1f} µs, decode {decode_us:.1f} µs")


if __name__ == "__main__":
    sys.exit(main())
