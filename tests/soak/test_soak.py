"""A short seeded soak, and each seed that ever failed."""

import asyncio
import unittest

from ._soak import play

_SECONDS = 4.0
# Each seed that failed once, with a line on the cause.
_REGRESSIONS = {
    149: "a replica's own 503 to a request that had run reached the caller, to whom "
    "it says that nothing ran",
}


class SoakTests(unittest.TestCase):
    def test_seeds(self):
        for seed in (1, *_REGRESSIONS):
            is_earlier = seed in _REGRESSIONS
            with self.subTest(seed=seed):
                broken, statuses, _ = asyncio.run(
                    play(seed, _SECONDS, is_earlier=is_earlier)
                )
                self.assertEqual(broken, [], statuses)
