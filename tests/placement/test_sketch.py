import hashlib
import unittest
from collections import Counter

from fireflyward.placement import FrequencySketch


def key_of(name):
    return hashlib.blake2b(str(name).encode(), digest_size=16).hexdigest()


class FrequencySketchTests(unittest.TestCase):
    def test_never_underestimates_and_rarely_overestimates(self):
        sketch = FrequencySketch(1 << 12)
        counts = Counter()
        for number in range(2_000):
            key = key_of(number % 700)
            counts[key] += 1
            sketch.add(key)
        over = [key for key in counts if sketch.count(key) > counts[key]]
        self.assertTrue(all(sketch.count(key) >= counts[key] for key in counts))
        self.assertLess(len(over), 7)

    def test_old_counts_are_halved(self):
        sketch = FrequencySketch(64)
        for _ in range(12):
            sketch.add(key_of("old"))
        for number in range(8 * 64):
            sketch.add(key_of(number % 3))
        self.assertLessEqual(sketch.count(key_of("old")), 6)

    def test_width_must_be_a_power_of_two(self):
        with self.assertRaises(ValueError):
            FrequencySketch(100)
