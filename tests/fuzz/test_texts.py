"""Arbitrary bundles, settings and prompts as input of a node."""

import unittest

from hypothesis import given, strategies as st

from fireflyward.bundles import (
    Bundle,
    BundleError,
    BundleState,
    SignedBundle,
    parse_bundle,
    sign_bundle,
    to_toml,
    verify_snapshot,
)
from fireflyward.settings import SERVE_SETTINGS, InvalidSetting, Settings, load
from fireflyward.upstreams import count_tokens, split_tokens
from tests.bundles.makers import ANA, BRUNO, ROOTS, bundle
from tests.fuzz.profiles import fuzz

KEYS = {"kept_key": "22" * 32, "peer_keys": "11" * 32}
TOML = to_toml(bundle())
SIGNED = sign_bundle(bundle(), author=ANA, approver=BRUNO)
settings_names = st.sampled_from([setting.name for setting in SERVE_SETTINGS])
toml_fragments = st.sampled_from(
    ["[", "]", "=", '"', "'", "\n", "models", "accounts.x", "1e999", "{", "}", "\0"]
)


class BundleTests(unittest.TestCase):
    def check(self, text):
        result = parse_bundle(text)
        if isinstance(result, Bundle):
            return
        self.assertTrue(result)
        self.assertTrue(all(isinstance(error, BundleError) for error in result))

    @fuzz(100)
    @given(st.text(max_size=200))
    def test_any_text_is_a_bundle_or_errors(self, text):
        self.check(text)

    @fuzz(200)
    @given(
        st.integers(0, len(TOML)),
        st.integers(0, 30),
        toml_fragments | st.text(max_size=9),
    )
    def test_a_changed_bundle_is_a_bundle_or_errors(
        self, offset, removed_length, inserted
    ):
        self.check(TOML[:offset] + inserted + TOML[offset + removed_length :])

    @fuzz(100)
    @given(st.integers(0, len(SIGNED.document) - 1), st.integers(1, 255))
    def test_a_signed_document_with_a_changed_byte_is_rejected(self, offset, change):
        document = bytearray(SIGNED.document)
        document[offset] ^= change
        changed = SignedBundle(bytes(document), *_other_fields(SIGNED))
        result = verify_snapshot(changed, (), roots=ROOTS, deployment="demo")
        self.assertIsInstance(result, BundleError)

    @fuzz(100)
    @given(st.binary(max_size=100))
    def test_any_document_is_rejected(self, document):
        changed = SignedBundle(document, *_other_fields(SIGNED))
        result = verify_snapshot(changed, (), roots=ROOTS, deployment="demo")
        self.assertIsInstance(result, BundleError)

    def test_the_unchanged_document_is_accepted(self):
        result = verify_snapshot(SIGNED, (), roots=ROOTS, deployment="demo")
        self.assertIsInstance(result, BundleState)


def _other_fields(signed):
    names = SignedBundle.__struct_fields__[1:]
    return [getattr(signed, name) for name in names]


class SettingsTests(unittest.TestCase):
    @fuzz(200)
    @given(settings_names, st.text(max_size=30))
    def test_any_value_is_accepted_or_rejected_by_name(self, name, text):
        result = load(SERVE_SETTINGS, KEYS | {name: text}, {})
        if isinstance(result, Settings):
            return
        self.assertTrue(all(isinstance(error, InvalidSetting) for error in result))
        self.assertIn(name, str(result[0]))


class TokenTests(unittest.TestCase):
    @fuzz(100)
    @given(st.text(max_size=300))
    def test_tokens_are_counted_as_they_are_split(self, text):
        tokens = split_tokens(text)
        self.assertEqual(count_tokens(text), len(tokens))
        self.assertEqual(b"".join(tokens), text.encode())
