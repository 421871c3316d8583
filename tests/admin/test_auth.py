import unittest

from fireflyward.admin import ErrorReply, RequestAuthenticator, sign_request
from tests.bundles.makers import ANA, BRUNO, ROOTS, TRUST, person

NOW_MS = 1_800_000_000_000


class RequestAuthenticatorTests(unittest.TestCase):
    def setUp(self):
        self.authenticator = RequestAuthenticator("demo", "entry-1")

    def headers(self, key=ANA, wall_ms=NOW_MS, **changed):
        fields = {
            "deployment": "demo",
            "node_name": "entry-1",
            "method": "POST",
            "target": "/v1/submit",
            "body": b"body",
        }
        return sign_request(key, wall_ms=wall_ms, **{**fields, **changed})

    def authenticate(self, headers, wall_ms=NOW_MS, people=ROOTS):
        return self.authenticator.authenticate(
            wall_ms=wall_ms,
            method="POST",
            target="/v1/submit",
            headers=headers,
            body=b"body",
            people=people,
        )

    def assert_rejected(self, result, code):
        self.assertIsInstance(result, ErrorReply)
        self.assertEqual(result.code, code)

    def test_known_person_is_returned(self):
        self.assertEqual(self.authenticate(self.headers()), "ana")

    def test_repeated_request_is_rejected(self):
        headers = self.headers()
        self.authenticate(headers)
        self.assert_rejected(self.authenticate(headers), "repeated")

    def test_request_signed_for_other_content_is_rejected(self):
        for changed in (
            {"deployment": "other"},
            {"node_name": "entry-2"},
            {"method": "GET"},
            {"target": "/v1/status"},
            {"body": b"other"},
        ):
            with self.subTest(changed=changed):
                self.assert_rejected(
                    self.authenticate(self.headers(**changed)), "bad_signature"
                )

    def test_request_with_a_wrong_time_is_rejected(self):
        for skew_ms in (-121_000, 121_000):
            headers = self.headers(wall_ms=NOW_MS + skew_ms)
            self.assert_rejected(self.authenticate(headers), "wrong_time")

    def test_unsigned_and_malformed_requests_are_rejected(self):
        self.assert_rejected(self.authenticate({}), "not_signed")
        for name, value in (
            ("X-Operator", "nobody"),
            ("X-Operator-Time", "²"),
            ("X-Operator-Time", "now"),
            ("X-Operator-Nonce", "x"),
            ("X-Operator-Signature", "zz"),
        ):
            with self.subTest(name=name, value=value):
                headers = {**self.headers(), name: value}
                self.assertIsInstance(self.authenticate(headers), ErrorReply)

    def test_revoked_key_is_rejected_with_its_own_code(self):
        people = {**TRUST, "ana": person(BRUNO, revoked=(ANA,))}
        self.assert_rejected(
            self.authenticate(self.headers(), people=people), "revoked_key"
        )
