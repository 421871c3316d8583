"""A short soak test of one seed and of each seed that failed once."""

import asyncio
import unittest

from ._soak import run_seed

_SECONDS = 4.0
# Each seed that failed once, with the cause.
_REGRESSIONS = {
    149: "a replica answered 503 to a request that it had executed, and the node sent "
    "this 503 to the caller, for whom a 503 means that the request was not executed",
}


class SoakTests(unittest.TestCase):
    def test_seeds(self):
        for seed in (1, *_REGRESSIONS):
            is_older_seed = seed in _REGRESSIONS
            with self.subTest(seed=seed):
                violations, statuses, _ = asyncio.run(
                    run_seed(seed, _SECONDS, is_older_seed=is_older_seed)
                )
                self.assertEqual(violations, [], statuses)
