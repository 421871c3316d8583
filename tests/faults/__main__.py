"""Runs the whole matrix, prints it as a table and writes docs/FAULTS.md.

python -m tests.faults
"""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from ._explore import PAIR_SEED, explore, write_prerequisites
from ._procedures import PROCEDURE_BY_NAME
from ._report import page, table

_PAGE = Path(__file__).parents[2] / "docs" / "FAULTS.md"
_WORKERS = 4
_PAIRS = 300


def main() -> int:
    """Run the matrix; return 1 if any cell is unmet."""
    parser = argparse.ArgumentParser(prog="python -m tests.faults")
    parser.add_argument("--pairs", type=int, default=_PAIRS)
    parser.add_argument("--seed", type=int, default=PAIR_SEED)
    parser.add_argument("--workers", type=int, default=_WORKERS)
    parser.add_argument("--only", nargs="+", default=list(PROCEDURE_BY_NAME))
    parser.add_argument("--no-page", action="store_true")
    options = parser.parse_args()
    with ProcessPoolExecutor(options.workers) as pool:
        matrix = explore(
            pool.map, pairs=options.pairs, seed=options.seed, procedures=options.only
        )
    print(table(matrix))
    if not options.no_page:
        _PAGE.write_text(page(matrix))
        write_prerequisites(matrix)
    return 0 if matrix.is_met else 1


if __name__ == "__main__":
    sys.exit(main())
