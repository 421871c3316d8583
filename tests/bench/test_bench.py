import unittest
from pathlib import Path

from fireflyward.bench import Bound, Figure, Row, find_benches, load_bounds, run_benches

BOUNDS = load_bounds(Path(__file__).parents[2] / "bounds.toml")


class RowTests(unittest.TestCase):
    def test_figure_outside_its_bound_is_missed(self):
        row = Row(Figure("x", 2.0, "s"), Bound(0.0, 1.0, "commit"))
        self.assertEqual(row.verdict, "missed")


class CountTests(unittest.TestCase):
    def test_every_count_is_within_its_bound(self):
        counts = [bench for bench in find_benches().values() if bench.is_count]
        for row in run_benches(counts, BOUNDS):
            with self.subTest(figure=row.figure.name):
                self.assertEqual(row.verdict, "met", row)
