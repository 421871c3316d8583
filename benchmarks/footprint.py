"""Measures a node before it serves: memory by import, and start time.

    python -m benchmarks.footprint

Each import runs in a new process. The start time is that of a real node and its
platform until the node is ready.
"""

import subprocess
import sys
import time
import urllib.request

from ._entry_setup import start_node
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
_IMPORT_SCRIPT = (
    "import sys,time;b=time.perf_counter()\n{statement}\n"
    "t=time.perf_counter()-b\n"
    "p=int(open('/proc/self/statm').read().split()[1])*4096/1e6\n"
    "print(f'{{p:.1f}} {{t*1e3:.0f}}')"
)
_ENGINE_MODULE = "benchmarks._fast_engine"
_CODEC_ROUNDS = 20_000


def main() -> int:
    """Print the table of imports and the figures of a real node."""
    print(f"{'imported':<52} {'MB':>7} {'ms':>6}")
    for name in _IMPORTS:
        statement = f"import {name}" if name else "pass"
        completed = subprocess.run(
            [sys.executable, "-c", _IMPORT_SCRIPT.format(statement=statement)],
            capture_output=True,
            text=True,
            check=True,
        )
        memory, duration = completed.stdout.split()
        print(f"{name or '(bare interpreter)':<52} {memory:>7} {duration:>6}")
    _print_node_start()
    _print_codec()
    return 0


def _print_node_start() -> None:
    port = free_port()
    engine = Process("-m", _ENGINE_MODULE, str(port))
    wait_for_port(port)
    started_s = time.monotonic()
    node, node_port, other_processes = start_node(f"http://127.0.0.1:{port}")
    platform_and_node_s = time.monotonic() - started_s
    url = f"http://127.0.0.1:{node_port}/readyz"
    with urllib.request.urlopen(url) as answer:
        assert answer.status == 200
    print(f"{'node serving, idle':<52} {node.resident_mb():>7.1f}")
    print(f"platform and node until ready: {platform_and_node_s:.2f} s")
    for process in (node, engine, *other_processes):
        process.stop()


def _print_codec() -> None:
    from fireflyward.peers import pack, unpack
    from fireflyward.peers._codec import Envelope

    envelope = Envelope(
        sender="entry-1", incarnation=1, sequence=2, kind="heartbeat", body=b"x" * 64
    )
    started_s = time.perf_counter()
    for _ in range(_CODEC_ROUNDS):
        packed = pack(envelope)
    encoded_s = time.perf_counter()
    for _ in range(_CODEC_ROUNDS):
        unpack(Envelope, packed)
    ended_s = time.perf_counter()
    encode_us = (encoded_s - started_s) / _CODEC_ROUNDS * 1e6
    decode_us = (ended_s - encoded_s) / _CODEC_ROUNDS * 1e6
    print(f"thriftpy2 binary: encode {encode_us:.1f} µs, decode {decode_us:.1f} µs")


if __name__ == "__main__":
    sys.exit(main())
