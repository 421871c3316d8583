import string
import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.bundles import (
    Account,
    Bundle,
    BundleError,
    Caller,
    Model,
    parse_bundle,
    to_toml,
    weight_errors,
)
from tests.bundles.makers import bundle, sha256

TEXT = f"""
deployment = "demo"
number = 1

[models.clauses]
version = "v1"

[accounts.bridge-team]
models = ["clauses"]
weight = 1

[accounts.bridge-team.callers.portal]
key_sha256 = "{sha256("k")}"

[upstreams.engine-1]
kind = "engine"
url = "http://127.0.0.1:1"
failure_domain = "norte"
models = ["clauses"]
"""


class ParseTestCase(unittest.TestCase):
    def assert_error(self, text, field, *parts, line=None):
        errors = parse_bundle(text)
        self.assertIsInstance(errors, tuple, "it was accepted")
        found = [error for error in errors if error.field == field]
        self.assertTrue(found, errors)
        for part in parts:
            self.assertIn(part, str(found[0]))
        if line:
            self.assertEqual(found[0].line, line)


class TypeTests(ParseTestCase):
    def test_readable_bundle(self):
        parsed = parse_bundle(TEXT)
        self.assertIsInstance(parsed, Bundle, parsed)
        self.assertEqual(parsed.accounts["bridge-team"].priority, 5)

    def test_error_has_line_field_value_and_allowed_values(self):
        text = TEXT.replace("weight = 1", "weight = 5000")
        line = text.splitlines().index("weight = 5000") + 1
        self.assert_error(
            text, "accounts.bridge-team.weight", "5000", "1 to 1000", line=line
        )

    def test_error_of_an_unknown_field_suggests_the_likely_one(self):
        text = TEXT.replace("weight = 1", "wieght = 1")
        self.assert_error(text, "accounts.bridge-team.wieght", "'weight'")

    def test_missing_field(self):
        text = TEXT.replace('version = "v1"', "")
        self.assert_error(text, "models.clauses.version", "missing", "text")

    def test_wrong_types(self):
        for old, new, field in (
            ('version = "v1"', "version = 1", "models.clauses.version"),
            ('kind = "engine"', 'kind = "motor"', "upstreams.engine-1.kind"),
            ("number = 1", "number = 0", "number"),
            ('url = "http:', 'url = "ftp:', "upstreams.engine-1.url"),
            ("weight = 1", "share_prefixes = 1", "accounts.bridge-team.share_prefixes"),
            (
                sha256("k"),
                "key-in-clear",
                "accounts.bridge-team.callers.portal.key_sha256",
            ),
        ):
            with self.subTest(new=new):
                self.assert_error(TEXT.replace(old, new, 1), field, "allowed: ")

    def test_all_errors_are_returned_at_once(self):
        text = TEXT.replace("weight = 1", "weight = 0\npriority = 10")
        self.assertEqual(len(parse_bundle(text)), 2)

    def test_error_of_invalid_toml_has_the_line(self):
        errors = parse_bundle("deployment = \n")
        self.assertEqual(errors[0].line, 1)

    def test_name_with_path_characters_is_refused(self):
        text = TEXT.replace("accounts.bridge-team", 'accounts."a/../b"')
        self.assertIsInstance(parse_bundle(text), tuple)


class CrossTests(ParseTestCase):
    def test_account_without_model_or_service(self):
        text = TEXT.replace('models = ["clauses"]', "models = []", 1)
        self.assert_error(text, "accounts.bridge-team.models", "no model")

    def test_account_with_an_unknown_model(self):
        text = TEXT.replace('models = ["clauses"]', 'models = ["beams"]', 1)
        self.assert_error(text, "accounts.bridge-team.models", "'beams'", "clauses")

    def test_model_without_an_upstream(self):
        text = TEXT + '[models.beams]\nversion = "v1"\n'
        self.assert_error(text, "models.beams", "no upstream")

    def test_service_without_an_upstream(self):
        self.assert_error(TEXT + "[services.stamps]\n", "services.stamps")

    def test_caller_key_in_two_accounts(self):
        text = TEXT + (
            f'[accounts.b]\nmodels = ["clauses"]\n[accounts.b.callers.c]\n'
            f'key_sha256 = "{sha256("k")}"\n'
        )
        self.assert_error(text, "accounts.b.callers.c.key_sha256", "bridge-team")

    def test_pinned_version_that_no_upstream_serves(self):
        text = TEXT.replace("weight = 1", 'versions = {clauses = "v7"}')
        self.assert_error(text, "accounts.bridge-team.versions.clauses", "'v7'", "v1")

    def test_account_without_callers(self):
        text = TEXT + '[accounts.b]\nmodels = ["clauses"]\ncallers = {}\n'
        self.assert_error(text, "accounts.b.callers")

    def test_trust_that_nobody_could_change(self):
        text = TEXT + f'[trust.ana]\nkeys = ["{"ab" * 32}"]\nmay_author = ["*"]\n'
        self.assert_error(text, "trust", "nobody")

    def test_invalid_scope(self):
        text = TEXT + '[trust.ana]\nmay_author = ["acount:x"]\n'
        self.assert_error(text, "trust.ana", "'acount:x'", "account:")

    def test_version_that_the_weight_store_lacks(self):
        errors = list(weight_errors(parse_bundle(TEXT), {"clauses": ("v2",)}))
        self.assertEqual([error.field for error in errors], ["models.clauses.version"])
        self.assertIn("v2", str(errors[0]))


NAMES = st.text(string.ascii_lowercase + string.digits, min_size=1, max_size=8)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=3)
    ),
    max_leaves=8,
)


class FuzzTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None, database=None)
    @given(st.text(max_size=200))
    def test_any_text_gives_a_bundle_or_errors(self, text):
        self.assert_bundle_or_errors(parse_bundle(text))

    @settings(derandomize=True, max_examples=150, deadline=None, database=None)
    @given(st.sampled_from(TEXT.split()), st.text(max_size=12))
    def test_any_word_replaced_gives_a_bundle_or_errors(self, old, new):
        self.assert_bundle_or_errors(parse_bundle(TEXT.replace(old, new, 1)))

    @settings(derandomize=True, max_examples=100, deadline=None, database=None)
    @given(
        st.dictionaries(
            NAMES,
            st.tuples(st.integers(1, 1000), st.integers(0, 9), st.booleans()),
            max_size=6,
        ),
        st.text(string.printable, min_size=1, max_size=10),
    )
    def test_written_toml_reads_back_as_an_equal_bundle(self, fields, version):
        accounts = {
            name: Account(
                ("clauses",),
                {"portal": Caller(sha256(name))},
                weight,
                priority,
                share_prefixes=sharing,
            )
            for name, (weight, priority, sharing) in fields.items()
        }
        written = bundle(account_by_name=accounts, models={"clauses": Model(version)})
        self.assertEqual(parse_bundle(to_toml(written)), written)

    def assert_bundle_or_errors(self, result):
        if not isinstance(result, Bundle):
            self.assertTrue(result)
            self.assertTrue(all(isinstance(error, BundleError) for error in result))
