"""Measure the slopes and write docs/CAPACITY.md.

python -m benchmarks.capacity [--output docs/CAPACITY.md]
"""

import argparse
import sys
from pathlib import Path

from ._page import write_page
from ._work import measure_all


def main() -> int:
    """Measure and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=Path("docs/CAPACITY.md"))
    options = parser.parse_args()
    options.output.write_text(write_page(measure_all()))
    print(f"wrote {options.output}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
