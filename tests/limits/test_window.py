import math
import unittest

from fireflyward.limits import Window


class WindowTests(unittest.TestCase):
    def test_grows_only_while_it_is_full_and_tokens_arrive_in_time(self):
        window = Window(8.0)
        window.on_first_token(0, 0.0, was_full=False)
        self.assertEqual(window.size, 8.0)
        for _ in range(8):
            window.on_first_token(0, 0.0, was_full=True)
        self.assertAlmostEqual(window.size, 9.0, delta=0.1)

    def test_simultaneous_late_tokens_shrink_it_once(self):
        """A single short delay reduced a node's window to one. A dozen first tokens
        were late because of the same queue, and each of them shrank the window."""
        window = Window(10.0)
        for _ in range(12):
            window.on_first_token(1_000, 500.0, was_full=True)
        self.assertAlmostEqual(window.size, 9.0)

    def test_rejections_never_shrink_it_below_one(self):
        window = Window(8.0)
        for now_ms in range(1_000, 100_000, 1_000):
            window.on_first_token(now_ms, math.inf, was_full=True)
        self.assertEqual(window.size, 1.0)
