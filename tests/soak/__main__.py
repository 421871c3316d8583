"""Plays seeds: ``python -m tests.soak --seeds 50 --seconds 8``."""

import argparse
import asyncio
import random
import sys

from ._soak import play


def main():
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seeds", type=int, default=3, help="how many fresh seeds")
    parser.add_argument("--first", type=int, help="the first seed; else drawn")
    parser.add_argument("--seconds", type=float, default=8.0, help="length of each")
    parser.add_argument(
        "--nodes", type=int, default=3, help="more than 12 speak through aggregators"
    )
    options = parser.parse_args()
    first = options.first
    if first is None:
        first = random.randrange(1_000_000)
    failed = []
    for seed in range(first, first + options.seeds):
        broken, statuses, history = asyncio.run(
            play(seed, options.seconds, options.nodes)
        )
        print(f"seed {seed}: {dict(statuses)}, {len(history)} faults", flush=True)
        for line in broken[:10]:
            print(f"  broken: {line}", flush=True)
        if broken:
            failed.append(seed)
    print(f"{options.seeds - len(failed)} passed, {len(failed)} failed {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
