"""Runs seeds of the soak test: ``python -m tests.soak --seeds 50 --seconds 8``."""

import argparse
import asyncio
import random
import sys

from ._out_of_step import run_out_of_step
from ._power_losses import run_power_losses
from ._soak import run_seed


def main():
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")
    parser.add_argument("--first", type=int, help="first seed; drawn if not given")
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="duration of each seed"
    )
    parser.add_argument(
        "--nodes",
        type=int,
        default=3,
        help="more than 12 communicate through aggregators",
    )
    parser.add_argument(
        "--partitions",
        action="store_true",
        help="cut nodes from replicas; replicas are brittle or silent",
    )
    parser.add_argument(
        "--upgrades",
        action="store_true",
        help="replicas of several software versions, and prompts that crash them",
    )
    parser.add_argument(
        "--standstills",
        action="store_true",
        help="nodes stand still or restart while weights are replaced; a seed lasts "
        "until the effects can be judged",
    )
    parser.add_argument(
        "--rejections",
        action="store_true",
        help="replicas are processes that repeat rejections; they are killed",
    )
    parser.add_argument(
        "--flapping",
        action="store_true",
        help="three replicas as processes, which crash, flap and are replaced",
    )
    parser.add_argument(
        "--power-losses",
        action="store_true",
        help="all nodes are killed at once around changes of software",
    )
    parser.add_argument(
        "--odd-input",
        action="store_true",
        help="malformed entries, cut settings files, and signals during starts",
    )
    parser.add_argument(
        "--out-of-step",
        action="store_true",
        help="one node stands still or is cut from the store while new software joins",
    )
    parser.add_argument("--logs", help="folder for the nodes' logs of seeds that fail")
    options = parser.parse_args()
    first = options.first
    if first is None:
        first = random.randrange(1_000_000)
    failed = []
    for seed in range(first, first + options.seeds):
        violations, counts, history = asyncio.run(_run(seed, options))
        print(f"seed {seed}: {dict(counts)}, {len(history)} faults", flush=True)
        if options.standstills or options.power_losses or options.out_of_step:
            print(f"  faults: {', '.join(history)}", flush=True)
        for line in violations[:10]:
            print(f"  violation: {line}", flush=True)
        if violations:
            failed.append(seed)
    print(f"{options.seeds - len(failed)} passed, {len(failed)} failed {failed}")
    return 1 if failed else 0


def _run(seed, options):
    if options.power_losses:
        return run_power_losses(seed, options.nodes)
    if options.out_of_step:
        return run_out_of_step(seed, options.nodes)
    return run_seed(
        seed,
        options.seconds,
        options.nodes,
        has_partitions=options.partitions,
        has_upgrades=options.upgrades,
        has_standstills=options.standstills,
        has_rejections=options.rejections,
        has_flapping=options.flapping,
        has_odd_input=options.odd_input,
        log_folder=options.logs,
    )


if __name__ == "__main__":
    sys.exit(main())
