"""Headers of callers and replicas, in both directions."""

import unittest

from fireflyward.http1 import Head
from fireflyward.outcomes import NotRun, Reason, Unknown
from fireflyward.platform import (
    CallerRequest,
    InvalidHeader,
    RateLimit,
    ReplicaHeaders,
    ReplicaLoad,
    decode_request,
    decode_response,
    encode_request,
    rejection_headers,
    response_headers,
    status_of,
)

HEADERS = [
    ("Host", "H.example:80"),
    ("X-Request-Id", "r1"),
    ("X-Deadline-Ms", "1500"),
    ("Authorization", "Bearer key-1"),
    ("X-Model", "m"),
    ("X-Token-Usage", "1460,80"),
    ("X-Prompt-Prefix", "5c:800,91:410,e4:250"),
    ("X-Other", "kept"),
]


def decode(*more, without=()):
    headers = [item for item in HEADERS if item[0] not in without]
    return decode_request("POST", "/a/b?c=1", [*headers, *more])


class CallerTests(unittest.TestCase):
    def test_fields(self):
        caller = decode()
        self.assertEqual((caller.host, caller.path), ("h.example", "/a/b"))
        self.assertEqual((caller.key, caller.deadline_ms), ("key-1", 1_500))
        self.assertEqual((caller.prompt_tokens, caller.max_output_tokens), (1_460, 80))
        self.assertEqual([part.part_id for part in caller.parts], ["5c", "91", "e4"])

    def test_bad_requests_are_refused_with_the_reason(self):
        for headers in ({"without": ("Host",)}, {"without": ("X-Request-Id",)}):
            self.assertEqual(decode(**headers).reason, Reason.BAD_REQUEST)
        for bad in ("x", "nan", "-1"):
            refused = decode(("X-Deadline-Ms", bad), without=("X-Deadline-Ms",))
            self.assertIsInstance(refused, NotRun, bad)
        refused = decode(("X-Prompt-Prefix", "a:b"), without=("X-Prompt-Prefix",))
        self.assertIsInstance(refused, NotRun)

    def test_what_the_system_sets_never_passes_from_a_caller(self):
        """Symptom: one account reads another's KV cache, or runs as another.

        A caller sends a header that only this system may set, and the replica
        obeys it.
        """
        names = (
            "X-Tenant",
            "X-Cache-Salt",
            "X-Kv-Fetch",
            "X-Kv-Save",
            "X-Kv-Backup",
            "X-Kv-Until",
            "Kv-From",
            "X-Hold",
            "X-Pin-Ms",
            "X-Request-Priority",
            "X-Expect-Instance",
            "X-Expect-Version",
        )
        caller = decode(*((name.lower(), "forged") for name in names))
        sent = encode_request(caller, ReplicaHeaders("i-1", 900))
        self.assertNotIn("forged", [value for _, value in sent])

    def test_the_key_is_not_passed_on(self):
        sent = dict(encode_request(decode(), ReplicaHeaders("i-1", 900, account="a")))
        self.assertNotIn("Authorization", sent)
        self.assertEqual(sent["X-Tenant"], "a")
        self.assertEqual(sent["X-Deadline-Ms"], "900")
        self.assertEqual(sent["X-Other"], "kept")
        self.assertEqual(sent["X-Prompt-Prefix"], "5c:800,91:410,e4:250")

    def test_headers_of_one_connection_end_here(self):
        caller = decode(("Connection", "x-hop"), ("X-Hop", "1"), ("TE", "trailers"))
        names = {name.lower() for name, _ in caller.headers}
        self.assertFalse(names & {"connection", "x-hop", "te"})

    def test_kv_addresses_stand_for_the_parts_in_order(self):
        system = ReplicaHeaders("i", 9, kv_sources=("a:1", None), kv_saves=(None, None))
        sent = dict(encode_request(decode(), system))
        self.assertEqual(sent["X-Kv-Fetch"], "a:1,-")
        self.assertNotIn("X-Kv-Save", sent)


class ReplicaTests(unittest.TestCase):
    def facts(self, status, *headers):
        return decode_response(Head(status, "", headers))

    def test_not_run_is_what_the_replica_says_and_421(self):
        self.assertTrue(self.facts(503, ("x-not-executed", "1")).was_not_run)
        self.assertTrue(self.facts(421).was_not_run)
        self.assertFalse(self.facts(503).was_not_run)

    def test_load(self):
        self.assertEqual(
            self.facts(200, ("x-server-load", "3,1,8")).load, ReplicaLoad(3, 1, 8)
        )
        self.assertIsNone(self.facts(200, ("x-server-load", "busy")).load)

    def test_a_rate_limit(self):
        notices = self.facts(200, ("server-limit", "3.5")).notices
        self.assertEqual(notices.limit, RateLimit(3.5))
        self.assertIsNone(self.facts(200).notices.limit)
        for bad in ("x", "", "nan", "inf", "-1", "1e3", "1_0", "4 a second"):
            notices = self.facts(200, ("server-limit", bad)).notices
            self.assertEqual(notices.invalid_headers, (InvalidHeader("server-limit", bad),))

    def test_answers_keep_their_headers_but_the_connections(self):
        head = Head(
            200, "", (("x-server-seal", "s"), ("connection", "x-a"), ("x-a", "1"))
        )
        self.assertEqual(response_headers(head), [("x-server-seal", "s")])


class OutcomeTests(unittest.TestCase):
    def test_only_what_did_not_run_gets_a_status_that_says_so(self):
        says_not_run = {408, 421, 429, 503}
        for reason in Reason:
            self.assertNotIn(status_of(Unknown(reason)), says_not_run)
        self.assertEqual(status_of(NotRun(Reason.OVERLOADED)), 503)
        self.assertEqual(status_of(Unknown(Reason.DEADLINE)), 504)
        self.assertEqual(status_of(NotRun(Reason.WRONG_KEY)), 401)
        self.assertEqual(status_of(NotRun(Reason.UNKNOWN_ROUTE)), 404)

    def test_callers_are_told_when_to_come_back(self):
        headers = dict(rejection_headers("r1", NotRun(Reason.OVERLOADED, "", 250)))
        self.assertEqual(headers, {"X-Request-Id": "r1", "Retry-After": "0.25"})
        self.assertNotIn("Retry-After", dict(rejection_headers("r", Unknown("x"))))

    def test_types(self):
        self.assertIsInstance(decode(), CallerRequest)
