"""Measures the cost of a node: direct, through a bare proxy, and through a node.

    python -m benchmarks.entry_cost [--requests 2000] [--json]

All three use the same engine in the same run, and each runs in its own process.
"""

import argparse
import json
import sys

from ._entry_setup import start_node
from ._fast_engine import TOKENS
from ._processes import Process, free_port, wait_for_port

_STREAMS = (1, 16, 100, 500)
_KEY = "key-bridge"


def main() -> int:
    """Measure and print one line for each path and number of streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2_000)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--callers", type=int, default=3)
    parser.add_argument("--streams", type=int, nargs="*", default=_STREAMS)
    parser.add_argument("--gap-ms", type=float, default=0.0)
    options = parser.parse_args()
    engine_port, bare_port = free_port(), free_port()
    engine_url = f"http://127.0.0.1:{engine_port}"
    engine = Process(
        "-m", "benchmarks._fast_engine", str(engine_port), str(options.gap_ms)
    )
    wait_for_port(engine_port)
    bare_proxy = Process(
        "-m", "benchmarks._bare_proxy", str(bare_port), f"{engine_url}/v1/completions"
    )
    wait_for_port(bare_port)
    node, node_port, other_processes = start_node(engine_url)
    process_by_path = {"direct": engine, "bare": bare_proxy, "node": node}
    port_by_path = {"direct": engine_port, "bare": bare_port, "node": node_port}
    rows = []
    try:
        for streams in options.streams:
            for path, port in port_by_path.items():
                row = _measure(path, process_by_path[path], port, streams, options)
                rows.append(row)
                if not options.json:
                    print(_format_row(row), flush=True)
        if not options.json:
            rows.append(_measure_memory(node, node_port, options))
    finally:
        for process in (node, bare_proxy, engine, *other_processes):
            process.stop()
    print(json.dumps(rows) if options.json else _summary(rows))
    return 0


def _measure(path, process, port, streams, options) -> dict:
    """Measure with several caller processes, so that no caller is the bottleneck."""
    url = f"http://127.0.0.1:{port}/v1/completions"
    count = min(options.callers, streams)
    cpu_before = process.cpu_s()
    callers = [
        Process(
            "-m",
            "benchmarks._caller",
            url,
            _KEY,
            str(streams // count),
            str(options.requests // count),
        )
        for _ in range(count)
    ]
    results = [json.loads(caller.read_line() or "{}") for caller in callers]
    for caller in callers:
        caller.stop()
    cpu_s = process.cpu_s() - cpu_before
    sent = options.requests // count * count
    return {
        "way": path,
        "streams": streams,
        "per_s": sum(result["per_s"] for result in results),
        "p50_ms": max(result["p50_ms"] for result in results),
        "p99_ms": max(result["p99_ms"] for result in results),
        "cpu_us_per_request": cpu_s / sent * 1e6,
        "cpu_us_per_token": cpu_s / sent / TOKENS * 1e6,
        "resident_mb": process.resident_mb(),
    }


def _measure_memory(node, port, options) -> dict:
    """Send 10,000 requests and return the node's memory before and after."""
    before = node.resident_mb()
    options.requests = 10_000
    _measure("node", node, port, 100, options)
    return {"way": "memory", "before_mb": before, "after_mb": node.resident_mb()}


def _format_row(row: dict) -> str:
    return (
        f"{row['way']:<7} {row['streams']:>4} streams {row['per_s']:>8.0f}/s "
        f"p50 {row['p50_ms']:>7.2f} ms  p99 {row['p99_ms']:>7.2f} ms  "
        f"cpu {row['cpu_us_per_request']:>6.0f} µs a request "
        f"{row['cpu_us_per_token']:>5.1f} µs a token  {row['resident_mb']:>5.1f} MB"
    )


def _summary(rows: list[dict]) -> str:
    rate = {(row["way"], row.get("streams")): row.get("per_s") for row in rows}
    lines = []
    for streams in sorted({row["streams"] for row in rows if "streams" in row}):
        ratio = rate["node", streams] / rate["bare", streams]
        lines.append(f"{streams} streams: node at {ratio:.2f} of the bare proxy")
    memory = rows[-1]
    lines.append(
        f"memory over 10,000 requests: {memory['before_mb']:.1f} to "
        f"{memory['after_mb']:.1f} MB"
    )
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
