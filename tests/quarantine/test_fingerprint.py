import unittest

from fireflyward.quarantine import fingerprint_of


class FingerprintTests(unittest.TestCase):
    def test_different_requests_have_different_fingerprints(self):
        requests = [
            ("acme", "/r/x", b"body"),
            ("acme", "/r/x", b"other"),
            ("acme", "/r/x?y=1", b"body"),
            ("other", "/r/x", b"body"),
            ("acme/r", "/x", b"body"),
            ("acme", "/r/", b"x\0body"),
        ]
        self.assertEqual(len({fingerprint_of(*parts) for parts in requests}), 6)

    def test_prompts_without_a_body_differ_by_their_parts(self):
        """Guards against a route held for prompts that are taken for one request."""
        prompts = [
            {},
            {"model": "m"},
            {"model": "m", "parts": ("a",)},
            {"model": "m", "parts": ("a", "b")},
            {"model": "m", "parts": ("ab",)},
            {"model": "ma", "parts": ("b",)},
        ]
        found = {fingerprint_of("acme", "/s/x", b"", **prompt) for prompt in prompts}
        self.assertEqual(len(found), len(prompts))

    def test_a_repeated_request_has_the_same_fingerprint(self):
        self.assertEqual(
            fingerprint_of("acme", "/r/x", b"body"),
            fingerprint_of("acme", "/r/x", b"body"),
        )
