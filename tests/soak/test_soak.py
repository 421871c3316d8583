"""A short seeded soak, and each seed that ever failed."""

import asyncio
import unittest

from ._soak import play

_SECONDS = 4.0
# Each seed that failed once, with a line on the cause.
_REGRESSIONS: dict[int, str] = {}


class SoakTests(unittest.TestCase):
    def test_seeds(self):
        for seed in (1, *_REGRESSIONS):
            with self.subTest(seed=seed):
                broken, statuses, _ = asyncio.run(play(seed, _SECONDS))
                self.assertEqual(broken, [], statuses)
