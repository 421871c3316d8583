"""Signatures of two people on the statement of a bundle."""

from collections.abc import Mapping

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from ._bundle import ALL, BundleError, Person

_DOMAIN_SEPARATOR = b"fireflyward bundle 2\n"
AUTHOR = "author"
APPROVER = "approver"
_SIGNING_ROLES = (AUTHOR, APPROVER)


class Signature(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One person's Ed25519 signature in a role, ``author`` or ``approver``."""

    person: str
    role: str
    value: bytes


class TrustRef(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The number that last changed who may sign, and the hash of its trust part.

    ``since`` is 0 while the people of the settings' trust roots sign.
    """

    since: int = 0
    digest: str = ""


class Statement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is signed: the number, the parts and the predecessor of a bundle.

    ``based_on`` is the digest of the preceding statement, so that a bundle made for
    another predecessor cannot be replayed. ``trust_before`` names the trust against
    which the signatures on this statement are verified.
    """

    deployment: str
    number: int
    based_on: str
    author: str
    note: str
    chunks: int
    upstream_chunks: int
    root: str
    trust: TrustRef
    trust_before: TrustRef


class SignedBundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A statement's canonical bytes, the signatures over them, and parts.

    ``parts`` holds the changed parts; a removed part has an empty body. In the
    first bundle and in a snapshot it holds all parts.
    """

    document: bytes
    signatures: tuple[Signature, ...] = ()
    parts: dict[str, bytes] = {}


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
        """Create the key from its 32 secret bytes."""
        return cls(person, Ed25519PrivateKey.from_private_bytes(seed))

    def public_bytes(self) -> bytes:
        """Return the 32 bytes of the public key."""
        return self._private.public_key().public_bytes_raw()

    def sign(self, role: str, document: bytes) -> Signature:
        """Sign ``document`` in ``role``; the role is part of what is signed."""
        value = self._private.sign(_message_to_sign(role, document))
        return Signature(self.person, role, value)

    def sign_bytes(self, message: bytes) -> bytes:
        """Sign a message that contains its own domain separator."""
        return self._private.sign(message)


def root_people(public_key_by_person: Mapping[str, bytes]) -> dict[str, Person]:
    """Return the people of the settings' trust roots, who may sign everything."""
    return {
        name: Person((key.hex(),), (), (ALL,), (ALL,))
        for name, key in public_key_by_person.items()
    }


def find_verifying_key(
    person_name: str, value: bytes, message: bytes, people: Mapping[str, Person]
) -> BundleError | str:
    """Return the person's public key that verifies a signature, or an error."""
    person = people.get(person_name)
    if person is None:
        return _signature_error(
            "unknown_person", f"{person_name!r} is not a known person"
        )
    for key in person.keys:
        if _is_valid(key, value, message):
            return key
    if any(_is_valid(key, value, message) for key in person.revoked):
        return _signature_error("revoked_key", f"{person_name}'s key is revoked")
    return _signature_error("bad_signature", f"{person_name}'s signature is not valid")


def signers_of(
    signed: SignedBundle, people: Mapping[str, Person]
) -> tuple[str, str] | BundleError:
    """Return author and approver if both signatures are valid and of two people.

    Exactly these two signatures are allowed, in this order, so that a signed
    bundle has only one encoding and contains no unchecked signature.
    """
    roles = tuple(signature.role for signature in signed.signatures)
    if roles != _SIGNING_ROLES:
        detail = f"must be an author's and an approver's, not {list(roles)}"
        return _signature_error("wrong_signatures", detail)
    keys = []
    for signature in signed.signatures:
        message = _message_to_sign(signature.role, signed.document)
        key = find_verifying_key(signature.person, signature.value, message, people)
        if isinstance(key, BundleError):
            return key
        keys.append(key)
    author, approver = (signature.person for signature in signed.signatures)
    if author == approver or keys[0] == keys[1]:
        return _signature_error(
            "same_person", "author and approver are the same person"
        )
    return author, approver


def public_hex(key: SigningKey) -> str:
    """Return the public key in hexadecimal, as in bundles and settings."""
    return key.public_bytes().hex()


def _signature_error(code: str, detail: str) -> BundleError:
    return BundleError("signatures", detail, code=code)


def _is_valid(key: str, value: bytes, message: bytes) -> bool:
    try:
        Ed25519PublicKey.from_public_bytes(bytes.fromhex(key)).verify(value, message)
    except (InvalidSignature, ValueError):
        return False
    return True


def _message_to_sign(role: str, document: bytes) -> bytes:
    return _DOMAIN_SEPARATOR + role.encode() + b"\n" + document
