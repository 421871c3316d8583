import unittest

from fireflyward.bundles import (
    Bundle,
    BundleError,
    SignedBundle,
    SigningKey,
    canonical_bytes,
    sign_bundle,
    verify_bundle,
)

ANA = SigningKey.from_seed("ana", b"1" * 32)
BRUNO = SigningKey.from_seed("bruno", b"2" * 32)
KEYS = {"ana": ANA.public_bytes(), "bruno": BRUNO.public_bytes()}
BUNDLE = Bundle("demo", 1, {}, {}, {})


class VerifyTests(unittest.TestCase):
    def test_two_people_make_a_bundle_valid(self):
        signed = sign_bundle(BUNDLE, author=ANA, approver=BRUNO)
        self.assertEqual(verify_bundle(signed, KEYS, "demo"), BUNDLE)

    def test_one_person_in_both_roles_is_refused(self):
        signed = sign_bundle(BUNDLE, author=ANA, approver=ANA)
        self.assertIsInstance(verify_bundle(signed, KEYS, "demo"), BundleError)

    def test_bundle_of_another_deployment_is_refused(self):
        signed = sign_bundle(BUNDLE, author=ANA, approver=BRUNO)
        self.assertIsInstance(verify_bundle(signed, KEYS, "other"), BundleError)

    def test_changed_bytes_are_refused(self):
        signed = sign_bundle(BUNDLE, author=ANA, approver=BRUNO)
        changed = SignedBundle(
            canonical_bytes(BUNDLE).replace(b"demo", b"dema"), signed.signatures
        )
        self.assertIsInstance(verify_bundle(changed, KEYS, "demo"), BundleError)

    def test_author_signature_is_not_valid_as_an_approval(self):
        document = canonical_bytes(BUNDLE)
        author = ANA.sign("author", document)
        forged = type(author)("bruno", "approver", author.value)
        signed = SignedBundle(document, (author, forged))
        self.assertIsInstance(verify_bundle(signed, KEYS, "demo"), BundleError)
