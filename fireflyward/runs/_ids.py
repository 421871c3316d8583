"""Run ids, and sealed marks with which callers return to their runs."""

import base64
import hashlib
import hmac

import msgspec

from ._messages import Mark

_ID_BYTES = 16
_TAG_BYTES = 12
_MAX_MARK_CHARACTERS = 1_024


class SealedMark(msgspec.Struct, array_like=True):
    """Content of a mark: the run's replica and how much its caller has received."""

    replica: str
    version: str
    tokens: int
    chars: int
    checksum: int


class RunIds:
    """Derives run ids and seals marks with the deployment's secret.

    The run id is derived from the client account, the Idempotency-Key and the
    request's fingerprint, so every node computes the same id without a look-up. A
    mark is sealed together with the id of its run. Sent with another account's API
    key, another Idempotency-Key or another body it is rejected, and its fields cannot
    be changed. A caller therefore can neither read another account's run nor choose a
    replica or weight version for its own run.

    >>> ids = RunIds(b"secret")
    >>> run_id = ids.of_request("a", "key-1", "f")
    >>> mark = Mark("engine-1", 3, 21, 7)
    >>> ids.open(run_id, ids.seal(run_id, mark, "v1")) == (mark, "v1")
    True
    >>> ids.open(ids.of_request("b", "key-1", "f"), ids.seal(run_id, mark, "v1"))
    """

    __slots__ = ("_key",)

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.blake2b(secret, person=b"run-ids").digest()

    def of_request(self, account: str, request_key: str, fingerprint: str) -> str:
        """Return the run id of a request with an Idempotency-Key."""
        parts = (account, request_key, fingerprint)
        data = b"".join(_length_prefixed(part.encode()) for part in parts)
        return self._digest(data, _ID_BYTES).hex()

    def seal(self, run_id: str, mark: Mark, version: str) -> str:
        """Return a mark in the form that the caller receives in ``id:`` lines."""
        sealed = SealedMark(
            mark.replica, version, mark.tokens, mark.chars, mark.checksum
        )
        body = msgspec.json.encode(sealed)
        text = base64.urlsafe_b64encode(self._tag(run_id, body) + body).decode()
        return f"{mark.tokens}.{text}"

    def open(self, run_id: str, text: str) -> tuple[Mark, str] | None:
        """Return the mark and weight version, or None if the mark is of another run."""
        if len(text) > _MAX_MARK_CHARACTERS:
            return None
        try:
            data = base64.urlsafe_b64decode(text.partition(".")[2])
            tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
            if not hmac.compare_digest(tag, self._tag(run_id, body)):
                return None
            sealed = msgspec.json.decode(body, type=SealedMark)
        except ValueError:
            return None
        mark = Mark(sealed.replica, sealed.tokens, sealed.chars, sealed.checksum)
        return mark, sealed.version

    def _tag(self, run_id: str, body: bytes) -> bytes:
        return self._digest(_length_prefixed(run_id.encode()) + body, _TAG_BYTES)

    def _digest(self, data: bytes, size: int) -> bytes:
        return hashlib.blake2b(data, key=self._key, digest_size=size).digest()


def _length_prefixed(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data
