"""The last reported speed of a replica."""

import unittest

from hypothesis import given, strategies as st

from fireflyward.replicas import SPEED_EXPIRY_MS, ReplicaSpeed

_FIGURES = st.lists(
    st.tuples(st.integers(0, 3_000), st.integers(1, 1_000)),
    max_size=12,
    unique_by=lambda figure: figure[0],
)


class ReplicaSpeedTests(unittest.TestCase):
    @given(figures=_FIGURES, order=st.randoms(use_true_random=False))
    def test_all_nodes_know_the_youngest_figure_in_any_order(self, figures, order):
        """Guards against nodes that disagree after late or repeated messages."""
        expected, shuffled = ReplicaSpeed(), ReplicaSpeed()
        for as_of_ms, percent in sorted(figures):
            expected.record(as_of_ms, percent)
        repeated = [*figures, *figures]
        order.shuffle(repeated)
        for as_of_ms, percent in repeated:
            shuffled.record(as_of_ms, percent, is_announced=True)
        for now_ms in range(0, 4_000, 100):
            self.assertEqual(shuffled.factor(now_ms), expected.factor(now_ms))

    @given(
        percent=st.integers(1, 100_000),
        work_ms=st.floats(0, 10_000),
        age_ms=st.integers(0, 1_000),
    )
    def test_slow_work_takes_longer_by_less_than_the_expiry(
        self, percent, work_ms, age_ms
    ):
        """Guards against a request that is expected to take minutes by one figure."""
        speed = ReplicaSpeed()
        speed.record(0, percent)
        took_ms = work_ms * speed.work_factor(age_ms, work_ms)
        self.assertLessEqual(took_ms, work_ms + SPEED_EXPIRY_MS)
        factor, left_ms = percent / 100, max(0, SPEED_EXPIRY_MS - age_ms)
        expected_ms = work_ms * factor
        if expected_ms > left_ms:
            expected_ms = left_ms + (work_ms - left_ms / factor)
        self.assertAlmostEqual(took_ms, expected_ms, places=6)
        if age_ms >= SPEED_EXPIRY_MS:
            self.assertEqual(took_ms, work_ms)

    def test_a_replica_that_never_reported_works_as_usual(self):
        speed = ReplicaSpeed()
        self.assertEqual((speed.factor(0), speed.work_factor(0, 900)), (1.0, 1.0))
        self.assertIsNone(speed.reading(0).percent)

    def test_only_changes_that_matter_are_news(self):
        speed = ReplicaSpeed()
        news = [speed.record(at, percent) for at, percent in enumerate((95, 250, 240))]
        self.assertEqual(news, [False, True, False])
        self.assertTrue(speed.record(260, 240))
        self.assertTrue(speed.record(270, 100))
        self.assertFalse(speed.record(900, 100))
