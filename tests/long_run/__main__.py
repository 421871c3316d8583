"""Prints the figures of a long run as JSON.

Exits with code 1 if a promise was violated or a call was executed twice.
"""

import argparse
import asyncio
import json
import sys

from ._run import LongRun


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.long_run")
    parser.add_argument("--seconds", type=float, default=240.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--callers", type=int, default=16)
    options = vars(parser.parse_args())
    figures = asyncio.run(LongRun(**options).run())
    print(json.dumps(figures, indent=2))
    is_clean = not figures["violations"] and not figures["calls_doubled"]
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
