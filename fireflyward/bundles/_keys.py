"""Private keys in files that only their owner can read."""

import os
import stat
from dataclasses import dataclass
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import (
    BestAvailableEncryption,
    Encoding,
    NoEncryption,
    PrivateFormat,
    load_pem_private_key,
)

from ._signing import SigningKey

_FILE_MODE = 0o600
_GROUP_AND_OTHERS = 0o077
_FIRST_LINE = "# fireflyward key of "
_MAX_FILE_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class KeyProblem:
    """The reason why a key file was not written or cannot be used."""

    path: str
    detail: str

    def __str__(self) -> str:
        return f"key file {self.path}: {self.detail}"


def create_key(
    path: Path, person: str, passphrase: str = ""
) -> SigningKey | KeyProblem:
    """Generate a key and write it to a file that must not exist yet."""
    private = Ed25519PrivateKey.generate()
    encryption = (
        BestAvailableEncryption(passphrase.encode()) if passphrase else NoEncryption()
    )
    pem = private.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, encryption)
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, _FILE_MODE)
    except OSError as error:
        return KeyProblem(str(path), error.strerror)
    with os.fdopen(descriptor, "wb") as file:
        file.write(f"{_FIRST_LINE}{person}\n".encode() + pem)
    return SigningKey(person, private)


def load_key(path: Path, passphrase: str = "") -> SigningKey | KeyProblem:
    """Read a key, unless other users have access to its file.

    A key that other users of the machine can read must be considered stolen. The error
    reports this to the owner before the key signs anything.
    """
    try:
        with open(path, "rb") as file:
            problem = _permission_problem(os.fstat(file.fileno()))
            body = file.read(_MAX_FILE_BYTES)
    except OSError as error:
        return KeyProblem(str(path), error.strerror)
    if problem:
        return KeyProblem(str(path), problem)
    first, _, pem = body.partition(b"\n")
    if not first.startswith(_FIRST_LINE.encode()):
        return KeyProblem(
            str(path), f"its first line is not {_FIRST_LINE!r} and a name"
        )
    person = first.decode(errors="replace").removeprefix(_FIRST_LINE).strip()
    try:
        private = load_pem_private_key(pem, passphrase.encode() or None)
    except TypeError:
        detail = "needs a passphrase" if not passphrase else "has no passphrase"
        return KeyProblem(str(path), detail)
    except ValueError:
        return KeyProblem(str(path), "is not a private key, or the passphrase is wrong")
    if not isinstance(private, Ed25519PrivateKey):
        return KeyProblem(str(path), "is not an Ed25519 key")
    return SigningKey(person, private)


def _permission_problem(status: os.stat_result) -> str:
    if not stat.S_ISREG(status.st_mode):
        return "is not a regular file"
    if status.st_uid != os.getuid():
        return "belongs to another user"
    if stat.S_IMODE(status.st_mode) & _GROUP_AND_OTHERS:
        mode = stat.S_IMODE(status.st_mode)
        return f"has mode {mode:04o}; allowed: 0600 (run: chmod 600)"
    return ""
