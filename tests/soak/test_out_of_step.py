"""Streams that are taken up at a node that is out of step during a release."""

import unittest

from ._out_of_step import run_out_of_step

# The node runs, cut from the store and from all messages, while v2 replaces v1.
_CUT_SEED = 6


class OutOfStepTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_node_that_is_cut_off_while_new_software_joins(self):
        """Guards against streams that go on at the version of an old list."""
        violations, counts, _ = await run_out_of_step(_CUT_SEED, nodes=3)
        self.assertEqual(violations, [])
        self.assertGreater(counts["of_new_versions"], 0)
        # Once the node is in step again its callers are served.
        self.assertGreaterEqual(counts["went_on"], counts["of_new_versions"] // 2)


if __name__ == "__main__":
    unittest.main()
