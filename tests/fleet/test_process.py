"""The exit status of a node's process, and the line that goes with it."""

import os

from .process_fixtures import ProcessTestCase


class ImportTests(ProcessTestCase):
    async def test_a_library_that_is_missing_is_named_in_the_log(self):
        """Guards against an unfinished installation that leaves no line in the log."""
        (self.folder / "msgspec.py").write_text("raise ImportError('cut short')")
        node = await self.start(PYTHONPATH=f"{self.folder}{os.pathsep}{os.getcwd()}")
        self.assertIn("cut short", await node.line("ends with status 1"))
        self.assertEqual(await node.status(), 1)
        self.assertNotIn("\nTraceback", "".join(node.lines))
