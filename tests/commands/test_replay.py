import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from fireflyward.__main__ import main


class ReplayCommandTests(unittest.TestCase):
    def run_command(self, *arguments):
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = main(["replay", *arguments])
        return code, output.getvalue(), errors.getvalue()

    def test_json_and_plot_of_one_policy(self):
        with tempfile.TemporaryDirectory() as directory:
            plot = Path(directory) / "table.png"
            code, output, _ = self.run_command(
                "andinos",
                "--small",
                "--policy",
                "least-loaded",
                "--json",
                "--plot",
                str(plot),
            )
            self.assertGreater(plot.stat().st_size, 0)
        self.assertEqual(code, 0)
        table = json.loads(output)
        self.assertEqual(table["deployment"], "andinos")
        (row,) = table["rows"]
        self.assertEqual(row["policy"], "least-loaded")
        self.assertGreater(row["recomputed_share"], 0)
        self.assertEqual(row["link_terabytes"], 0)

    def test_unknown_policy_exits_2_and_prints_the_known_ones(self):
        code, output, errors = self.run_command("andinos", "--policy", "best")
        self.assertEqual(code, 2)
        self.assertEqual(output, "")
        self.assertIn("least-loaded", errors)
