import unittest

from fireflyward.admin import ErrorReply, RequestAuthenticator, sign_request
from tests.bundles.makers import ANA, BRUNO, ROOTS, TRUST, person

NOW_MS = 1_800_000_000_000


class JudgeTests(unittest.TestCase):
    def setUp(self):
        self.judge = RequestAuthenticator("demo", "entry-1")

    def headers(self, key=ANA, wall_ms=NOW_MS, **changed):
        fields = {
            "deployment": "demo",
            "node_name": "entry-1",
            "method": "POST",
            "target": "/v1/submit",
            "body": b"body",
        }
        return sign_request(key, wall_ms=wall_ms, **{**fields, **changed})

    def ask(self, headers, wall_ms=NOW_MS, people=ROOTS):
        return self.judge.judge(
            wall_ms=wall_ms,
            method="POST",
            target="/v1/submit",
            headers=headers,
            body=b"body",
            people=people,
        )

    def assert_refused(self, result, code):
        self.assertIsInstance(result, ErrorReply)
        self.assertEqual(result.code, code)

    def test_known_person_is_told(self):
        self.assertEqual(self.ask(self.headers()), "ana")

    def test_same_request_again_is_refused(self):
        headers = self.headers()
        self.ask(headers)
        self.assert_refused(self.ask(headers), "repeated")

    def test_request_for_anything_else_is_refused(self):
        for changed in (
            {"deployment": "other"},
            {"node_name": "entry-2"},
            {"method": "GET"},
            {"target": "/v1/status"},
            {"body": b"other"},
        ):
            with self.subTest(changed=changed):
                self.assert_refused(self.ask(self.headers(**changed)), "bad_signature")

    def test_old_or_future_request_is_refused(self):
        for skew_ms in (-121_000, 121_000):
            headers = self.headers(wall_ms=NOW_MS + skew_ms)
            self.assert_refused(self.ask(headers), "wrong_time")

    def test_unsigned_and_garbled_requests_are_refused(self):
        self.assert_refused(self.ask({}), "not_signed")
        for name, value in (
            ("X-Operator", "nobody"),
            ("X-Operator-Time", "²"),
            ("X-Operator-Time", "now"),
            ("X-Operator-Nonce", "x"),
            ("X-Operator-Signature", "zz"),
        ):
            with self.subTest(name=name, value=value):
                headers = {**self.headers(), name: value}
                self.assertIsInstance(self.ask(headers), ErrorReply)

    def test_revoked_key_is_refused_by_that_name(self):
        people = {**TRUST, "ana": person(BRUNO, revoked=(ANA,))}
        self.assert_refused(self.ask(self.headers(), people=people), "revoked_key")
