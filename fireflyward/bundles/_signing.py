"""Two people sign the canonical bytes of a bundle; every node checks both."""

import hashlib
from collections.abc import Mapping

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from ._bundle import Bundle, BundleError

_DOMAIN_SEPARATOR = b"fireflyward bundle 1\n"
AUTHOR = "author"
APPROVER = "approver"


class Signature(msgspec.Struct, frozen=True):
    """One person's Ed25519 signature in a role, ``author`` or ``approver``."""

    person: str
    role: str
    value: bytes


class SignedBundle(msgspec.Struct, frozen=True):
    """A bundle's canonical bytes with the signatures over them."""

    document: bytes
    signatures: tuple[Signature, ...] = ()


class SigningKey:
    """A person's private key."""

    __slots__ = ("_private", "person")

    def __init__(self, person: str, private: Ed25519PrivateKey) -> None:
        self.person = person
        self._private = private

    def __repr__(self) -> str:
        return f"SigningKey({self.person!r})"

    @classmethod
    def from_seed(cls, person: str, seed: bytes) -> "SigningKey":
        """Build the key from its 32 secret bytes."""
        return cls(person, Ed25519PrivateKey.from_private_bytes(seed))

    def public_bytes(self) -> bytes:
        """Return the 32 bytes of the public key."""
        return self._private.public_key().public_bytes_raw()

    def sign(self, role: str, document: bytes) -> Signature:
        """Sign ``document`` in ``role``; the role is part of what is signed."""
        value = self._private.sign(_signed_bytes(role, document))
        return Signature(self.person, role, value)


def canonical_bytes(bundle: Bundle) -> bytes:
    """Return the one byte form of a bundle that is signed and digested."""
    return msgspec.json.encode(bundle, order="sorted")


def digest_of(document: bytes) -> str:
    """Return the SHA-256 of canonical bytes, in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def sign_bundle(
    bundle: Bundle, *, author: SigningKey, approver: SigningKey
) -> SignedBundle:
    """Sign a bundle by both people at once, as the demo and the tests do."""
    document = canonical_bytes(bundle)
    signatures = (author.sign(AUTHOR, document), approver.sign(APPROVER, document))
    return SignedBundle(document, signatures)


def verify_bundle(
    signed: SignedBundle, public_key_by_person: Mapping[str, bytes], deployment: str
) -> Bundle | BundleError:
    """Return the bundle if an author and another person's approval both hold."""
    person_by_role: dict[str, str] = {}
    for signature in signed.signatures:
        key = public_key_by_person.get(signature.person)
        if key is None:
            return BundleError("signatures", f"unknown person {signature.person!r}")
        if not _holds(signature, key, signed.document):
            return BundleError("signatures", f"{signature.person}'s does not hold")
        person_by_role[signature.role] = signature.person
    if set(person_by_role) != {AUTHOR, APPROVER}:
        return BundleError("signatures", "an author and an approver must sign")
    first, second = person_by_role[AUTHOR], person_by_role[APPROVER]
    if first == second or (public_key_by_person[first] == public_key_by_person[second]):
        return BundleError("signatures", "author and approver are the same person")
    bundle = msgspec.json.decode(signed.document, type=Bundle)
    if bundle.deployment != deployment:
        return BundleError("deployment", f"{bundle.deployment!r} is not this one")
    return bundle


def _holds(signature: Signature, key: bytes, document: bytes) -> bool:
    public = Ed25519PublicKey.from_public_bytes(key)
    try:
        public.verify(signature.value, _signed_bytes(signature.role, document))
    except InvalidSignature:
        return False
    return True


def _signed_bytes(role: str, document: bytes) -> bytes:
    return _DOMAIN_SEPARATOR + role.encode() + b"\n" + document
