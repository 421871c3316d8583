import unittest

from fireflyward.quarantine import fingerprint_of


class FingerprintTests(unittest.TestCase):
    def test_what_is_asked_makes_it(self):
        asked = [
            ("acme", "/r/x", b"body"),
            ("acme", "/r/x", b"other"),
            ("acme", "/r/x?y=1", b"body"),
            ("other", "/r/x", b"body"),
            ("acme/r", "/x", b"body"),
            ("acme", "/r/", b"x\0body"),
        ]
        self.assertEqual(len({fingerprint_of(*parts) for parts in asked}), 6)

    def test_a_repeat_has_the_same(self):
        self.assertEqual(
            fingerprint_of("acme", "/r/x", b"body"),
            fingerprint_of("acme", "/r/x", b"body"),
        )
