"""Decoding and encoding of the headers of callers and replicas."""

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
    def test_request_fields_are_decoded(self):
        caller = decode()
        self.assertEqual((caller.host, caller.path), ("h.example", "/a/b"))
        self.assertEqual((caller.key, caller.deadline_ms), ("key-1", 1_500))
        self.assertEqual((caller.prompt_tokens, caller.max_output_tokens), (1_460, 80))
        self.assertEqual([part.part_id for part in caller.parts], ["5c", "91", "e4"])

    def test_bad_requests_are_rejected_with_the_reason(self):
        for headers in ({"without": ("Host",)}, {"without": ("X-Request-Id",)}):
            self.assertEqual(decode(**headers).reason, Reason.BAD_REQUEST)
        for bad in ("x", "nan", "-1"):
            rejected = decode(("X-Deadline-Ms", bad), without=("X-Deadline-Ms",))
            self.assertIsInstance(rejected, NotRun, bad)
        rejected = decode(("X-Prompt-Prefix", "a:b"), without=("X-Prompt-Prefix",))
        self.assertIsInstance(rejected, NotRun)

    def test_numbers_that_no_message_carries_are_rejected(self):
        """Guards against a request whose numbers fail tasks that count its tokens."""
        odd = {
            "X-Token-Usage": ("-1,5", "9" * 5_000, "5," + "9" * 400, "1_000,1", "²"),
            "X-Prompt-Prefix": ("5c:-800", "5c:" + "9" * 5_000, "5c:4294967296", "5c:"),
            "X-Deadline-Ms": ("1_000", "inf", "1e400", "9" * 5_000, "\u0663"),
        }
        for name, values in odd.items():
            for value in values:
                with self.subTest(name=name, value=value[:20]):
                    rejected = decode((name, value), without=(name,))
                    self.assertEqual(rejected.reason, Reason.BAD_REQUEST)

    def test_a_long_deadline_is_as_good_as_none(self):
        """Guards against a header with a number of 300 digits."""
        for value in ("1e300", "99999999999999", "4294967296"):
            with self.subTest(value=value):
                caller = decode(("X-Deadline-Ms", value), without=("X-Deadline-Ms",))
                self.assertEqual(caller.deadline_ms, 2**31 - 1)

    def test_deadlines_are_decoded_with_fractions(self):
        for value, deadline_ms in ((" 1500.5 ", 1500.5), ("1.5e3", 1_500), ("0", 0)):
            with self.subTest(value=value):
                caller = decode(("X-Deadline-Ms", value), without=("X-Deadline-Ms",))
                self.assertEqual(caller.deadline_ms, deadline_ms)

    def test_texts_that_are_no_utf_8_are_rejected(self):
        """Guards against an exception for each request with such a text."""
        for name in ("X-Request-Id", "Host", "X-Model", "X-Prompt-Prefix", "Resumes"):
            with self.subTest(name=name):
                rejected = decode((name, "a\udce9:1"), without=(name,))
                self.assertEqual(rejected.reason, Reason.BAD_REQUEST)
        rejected = decode_request("GET", "/a\udce9", HEADERS)
        self.assertEqual(rejected.reason, Reason.BAD_REQUEST)

    def test_a_caller_cannot_set_the_headers_of_the_system(self):
        """Guards against a caller that acts as another account or reads its KV cache.

        The caller sends a header that only this system may set, and the replica obeys
        the header.
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

    def test_the_key_is_not_forwarded(self):
        sent = dict(encode_request(decode(), ReplicaHeaders("i-1", 900, account="a")))
        self.assertNotIn("Authorization", sent)
        self.assertEqual(sent["X-Tenant"], "a")
        self.assertEqual(sent["X-Deadline-Ms"], "900")
        self.assertEqual(sent["X-Other"], "kept")
        self.assertEqual(sent["X-Prompt-Prefix"], "5c:800,91:410,e4:250")

    def test_hop_by_hop_headers_are_not_forwarded(self):
        caller = decode(("Connection", "x-hop"), ("X-Hop", "1"), ("TE", "trailers"))
        names = {name.lower() for name, _ in caller.headers}
        self.assertFalse(names & {"connection", "x-hop", "te"})

    def test_kv_addresses_follow_the_order_of_the_parts(self):
        system = ReplicaHeaders("i", 9, kv_sources=("a:1", None), kv_saves=(None, None))
        sent = dict(encode_request(decode(), system))
        self.assertEqual(sent["X-Kv-Fetch"], "a:1,-")
        self.assertNotIn("X-Kv-Save", sent)


class ReplicaTests(unittest.TestCase):
    def facts(self, status, *headers):
        return decode_response(Head(status, "", headers))

    def test_a_not_executed_header_or_421_means_not_run(self):
        self.assertTrue(self.facts(503, ("x-not-executed", "1")).was_not_run)
        self.assertTrue(self.facts(421).was_not_run)
        self.assertFalse(self.facts(503).was_not_run)

    def test_the_load_header_is_decoded(self):
        self.assertEqual(
            self.facts(200, ("x-server-load", "3,1,8")).load, ReplicaLoad(3, 1, 8)
        )
        self.assertIsNone(self.facts(200, ("x-server-load", "busy")).load)

    def test_a_fourth_figure_of_the_load_is_optional_and_decoded_strictly(self):
        """Guards against dropped reports, and against a speed that is no number."""
        facts = self.facts(200, ("x-server-load", "3, 1, 8, 250"))
        self.assertEqual(facts.load, ReplicaLoad(3, 1, 8, 250))
        for bad in ("3,1,8,0", "3,1,8,-1", "3,1,8,", "3,1,8,x", "3,1,8,2.5", "3,1"):
            facts = self.facts(200, ("x-server-load", bad))
            self.assertIsNone(facts.load, bad)
            self.assertEqual(facts.invalid_load, InvalidHeader("x-server-load", bad))
        for bad in ("3,1,8,1,1", "²,1,8", "3,1,8,1000000000", ""):
            self.assertIsNotNone(self.facts(200, ("x-server-load", bad)).invalid_load)
        self.assertIsNone(self.facts(200).invalid_load)

    def test_the_weights_header_is_decoded_strictly(self):
        """Guards against a response that is lost because of one of its headers."""
        self.assertEqual(self.facts(200, ("x-weight-versions", "12")).weights, 12)
        version = 2**59
        facts = self.facts(200, ("x-weight-versions", str(version)))
        self.assertEqual(facts.weights, version)
        for bad in ("\u00b2", "9" * 5_000, "-1", "1.5", "", "1,2", "\u0661"):
            with self.subTest(bad=bad[:20]):
                facts = self.facts(200, ("x-weight-versions", bad))
                self.assertIsNone(facts.weights)

    def test_no_header_of_a_response_raises(self):
        """Guards against a response that is lost because of one of its headers."""
        names = ("x-server-load", "server-limit", "server-brittle", "retry-after")
        for name in (*names, "server-leaving", "x-weight-versions", "x-instance-id"):
            for value in ("\u00b2", "9" * 5_000, "1" * 400 + ".5", "\xe9", "nan", ""):
                with self.subTest(name=name, value=value[:20]):
                    self.assertIsNotNone(self.facts(503, (name, value)))

    def test_the_rate_limit_header_is_decoded(self):
        notices = self.facts(200, ("server-limit", "3.5")).notices
        self.assertEqual(notices.limit, RateLimit(3.5))
        self.assertIsNone(self.facts(200).notices.limit)
        for bad in ("x", "", "nan", "inf", "-1", "1e3", "1_0", "4 a second"):
            notices = self.facts(200, ("server-limit", bad)).notices
            self.assertEqual(
                notices.invalid_headers, (InvalidHeader("server-limit", bad),)
            )

    def test_responses_keep_all_but_hop_by_hop_headers(self):
        head = Head(
            200, "", (("x-server-seal", "s"), ("connection", "x-a"), ("x-a", "1"))
        )
        self.assertEqual(response_headers(head), [("x-server-seal", "s")])


class OutcomeTests(unittest.TestCase):
    def test_only_outcomes_not_run_get_a_status_that_means_so(self):
        means_not_run = {408, 421, 429, 503}
        for reason in Reason:
            self.assertNotIn(status_of(Unknown(reason)), means_not_run)
        self.assertEqual(status_of(NotRun(Reason.OVERLOADED)), 503)
        self.assertEqual(status_of(Unknown(Reason.DEADLINE)), 504)
        self.assertEqual(status_of(NotRun(Reason.WRONG_KEY)), 401)
        self.assertEqual(status_of(NotRun(Reason.UNKNOWN_ROUTE)), 404)

    def test_callers_get_a_retry_after_header(self):
        headers = dict(rejection_headers("r1", NotRun(Reason.OVERLOADED, "", 250)))
        self.assertEqual(headers, {"X-Request-Id": "r1", "Retry-After": "0.25"})
        self.assertNotIn("Retry-After", dict(rejection_headers("r", Unknown("x"))))

    def test_a_request_is_decoded_into_a_caller_request(self):
        self.assertIsInstance(decode(), CallerRequest)
