"""Signs and verifies administration requests with the operator's own key."""

import hashlib
import re
import secrets
from collections.abc import Mapping

from fireflyward.bundles import BundleError, Person, SigningKey, find_verifying_key

from ._messages import ErrorReply

_SIGNATURE_PREFIX = b"fireflyward admin 1"
_MAX_SKEW_MS = 120_000
_MAX_NONCES = 10_000
_NONCE = re.compile(r"^[0-9a-f]{32}$")
PERSON_HEADER = "X-Operator"
TIME_HEADER = "X-Operator-Time"
NONCE_HEADER = "X-Operator-Nonce"
SIGNATURE_HEADER = "X-Operator-Signature"


def sign_request(
    key: SigningKey,
    *,
    wall_ms: int,
    deployment: str,
    node_name: str,
    method: str,
    target: str,
    body: bytes,
) -> dict[str, str]:
    """Return the authentication headers; ``target`` is the path with its query."""
    nonce = secrets.token_hex(16)
    time_text = str(wall_ms)
    message = _signed_message(
        deployment, node_name, method, target, time_text, nonce, body
    )
    return {
        PERSON_HEADER: key.person,
        TIME_HEADER: time_text,
        NONCE_HEADER: nonce,
        SIGNATURE_HEADER: key.sign_bytes(message).hex(),
    }


class RequestAuthenticator:
    """Identifies the person who signed a request and rejects replayed requests.

    The signature covers the name of the node, so a recorded request cannot be replayed
    to another node. This node stores the nonce of a request for as long as the
    request's timestamp is accepted. After a restart of the node the request could be
    replayed within that time, which would only return the same data or submit the same
    bundle again.
    """

    __slots__ = ("_deployment", "_expiry_ms_by_nonce", "_node_name")

    def __init__(self, deployment: str, node_name: str) -> None:
        self._deployment = deployment
        self._node_name = node_name
        self._expiry_ms_by_nonce: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"RequestAuthenticator({self._node_name!r})"

    def authenticate(
        self,
        *,
        wall_ms: int,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        people: Mapping[str, Person],
    ) -> str | ErrorReply:
        """Return the person's name, or the reason why the request is rejected."""
        person = headers.get(PERSON_HEADER, "")
        time_text = headers.get(TIME_HEADER, "")
        nonce = headers.get(NONCE_HEADER, "")
        if not time_text.isascii() or not time_text.isdigit() or len(time_text) > 15:
            return ErrorReply(
                "not_signed", f"{TIME_HEADER} must be milliseconds since 1970"
            )
        if not _NONCE.match(nonce):
            return ErrorReply(
                "not_signed", f"{NONCE_HEADER} must be 32 hexadecimal digits"
            )
        message = _signed_message(
            self._deployment, self._node_name, method, target, time_text, nonce, body
        )
        key = find_verifying_key(person, _read_signature(headers), message, people)
        if isinstance(key, BundleError):
            return ErrorReply(key.code, key.detail)
        if abs(wall_ms - int(time_text)) > _MAX_SKEW_MS:
            seconds = (wall_ms - int(time_text)) / 1_000
            detail = f"the request's time differs by {seconds:.0f} s from this node's"
            return ErrorReply("wrong_time", detail)
        if not self._is_new(nonce, wall_ms):
            return ErrorReply("repeated", "this request was already received")
        return person

    def _is_new(self, nonce: str, wall_ms: int) -> bool:
        expired = [
            old
            for old, expiry_ms in self._expiry_ms_by_nonce.items()
            if expiry_ms < wall_ms
        ]
        for old in expired:
            del self._expiry_ms_by_nonce[old]
        if (
            nonce in self._expiry_ms_by_nonce
            or len(self._expiry_ms_by_nonce) >= _MAX_NONCES
        ):
            return False
        self._expiry_ms_by_nonce[nonce] = wall_ms + 2 * _MAX_SKEW_MS
        return True


def _read_signature(headers: Mapping[str, str]) -> bytes:
    try:
        return bytes.fromhex(headers.get(SIGNATURE_HEADER, ""))
    except ValueError:
        return b""


def _signed_message(
    deployment: str,
    node_name: str,
    method: str,
    target: str,
    time_text: str,
    nonce: str,
    body: bytes,
) -> bytes:
    fields = (deployment, node_name, method, target, time_text, nonce)
    digest = hashlib.sha256(body).hexdigest()
    return b"\n".join(
        [_SIGNATURE_PREFIX, *(field.encode() for field in fields), digest.encode()]
    )
