"""Texts that a caller stores once and then refers to in later requests."""

import base64
import hashlib
from collections import OrderedDict
from dataclasses import dataclass

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305

from fireflyward.backing import Missing, Objects, Stored, Unavailable
from fireflyward.decoding import DECODE_ERRORS

_NONCE_BYTES = 12
_KEY_BYTES = 32
_NAME_BYTES = 20
_MAX_KEY_BYTES = 64
_DEFAULT_CACHE_BYTES = 8 << 20
_MAX_REF_CHARACTERS = 512


@dataclass(frozen=True, slots=True)
class PrefixScope:
    """Who may use a prefix: an account, or one caller if the account shares none."""

    account: str
    caller: str = ""


@dataclass(frozen=True, slots=True)
class PrefixText:
    """The text that a reference refers to."""

    text: str


@dataclass(frozen=True, slots=True)
class UnknownPrefix:
    """The reference is not of this account, or its text no longer exists."""


class _Ref(msgspec.Struct, array_like=True):
    """The encrypted content of a reference."""

    name: str
    object_name: str


class PrefixTexts:
    """Stores named texts in the object store, encrypted for their account.

    The caller keeps a reference to its text; nodes and tables do not store it. A
    reference contains the object's name under authenticated encryption that is bound
    to the account, so it cannot be forged, read or used by another account. The
    object is encrypted with a key of its account as well. Its name is a keyed hash of
    the text, so storing a text repeatedly creates a single object. Nodes cache
    recently used texts, up to ``cache_bytes``.
    """

    __slots__ = ("_cache", "_cache_bytes", "_cached_bytes", "_objects", "_secret")

    def __init__(
        self,
        objects: Objects,
        secret: bytes,
        *,
        cache_bytes: int = _DEFAULT_CACHE_BYTES,
    ) -> None:
        self._objects = objects
        self._secret = secret[:_MAX_KEY_BYTES]
        self._cache: OrderedDict[str, str] = OrderedDict()
        self._cache_bytes = cache_bytes
        self._cached_bytes = 0

    async def store_text(
        self, scope: PrefixScope, name: str, text: str
    ) -> str | Unavailable:
        """Store a text and return the reference to it."""
        data = text.encode()
        object_name = self._object_name(scope, data)
        if object_name not in self._cache:
            sealed = self._seal(scope, b"text", data)
            stored = await self._objects.put(object_name, sealed)
            if not isinstance(stored, Stored):
                return Unavailable(stored.detail)
            self._cache_text(object_name, text)
        ref = msgspec.msgpack.encode(_Ref(name, object_name))
        return base64.urlsafe_b64encode(self._seal(scope, b"ref", ref)).decode()

    async def resolve(
        self, scope: PrefixScope, ref: str
    ) -> PrefixText | UnknownPrefix | Unavailable:
        """Return the text that a reference refers to."""
        opened = self._open_ref(scope, ref)
        if opened is None:
            return UnknownPrefix()
        cached = self._cache.get(opened.object_name)
        if cached is not None:
            self._cache.move_to_end(opened.object_name)
            return PrefixText(cached)
        body = await self._objects.get(opened.object_name)
        if isinstance(body, Unavailable):
            return body
        data = None if isinstance(body, Missing) else self._open(scope, b"text", body)
        if data is None or self._object_name(scope, data) != opened.object_name:
            return UnknownPrefix()
        text = data.decode()
        self._cache_text(opened.object_name, text)
        return PrefixText(text)

    def _open_ref(self, scope: PrefixScope, ref: str) -> _Ref | None:
        if len(ref) > _MAX_REF_CHARACTERS:
            return None
        try:
            sealed = base64.b64decode(ref.encode(), altchars=b"-_", validate=True)
            data = self._open(scope, b"ref", sealed)
            return data and msgspec.msgpack.decode(data, type=_Ref)
        except (ValueError, *DECODE_ERRORS):
            return None

    def _cache_text(self, object_name: str, text: str) -> None:
        if object_name in self._cache:
            return
        self._cache[object_name] = text
        self._cached_bytes += len(text)
        while self._cached_bytes > self._cache_bytes:
            _, oldest = self._cache.popitem(last=False)
            self._cached_bytes -= len(oldest)

    def _object_name(self, scope: PrefixScope, data: bytes) -> str:
        digest = self._derive(scope, b"name", data, size=_NAME_BYTES)
        return f"prefixes/{digest.hex()}"

    def _seal(self, scope: PrefixScope, purpose: bytes, data: bytes) -> bytes:
        """Encrypt data with a nonce derived from it, so equal data gives equal bytes.

        Objects are written once and never change. With a random nonce, storing the
        same text again would write different bytes under the same name.
        """
        nonce = self._derive(scope, purpose + b" nonce", data, size=_NONCE_BYTES)
        return nonce + self._cipher(scope, purpose).encrypt(nonce, data, purpose)

    def _open(self, scope: PrefixScope, purpose: bytes, sealed: bytes) -> bytes | None:
        nonce, body = sealed[:_NONCE_BYTES], sealed[_NONCE_BYTES:]
        try:
            return self._cipher(scope, purpose).decrypt(nonce, body, purpose)
        except (InvalidTag, ValueError):
            return None

    def _cipher(self, scope: PrefixScope, purpose: bytes) -> ChaCha20Poly1305:
        return ChaCha20Poly1305(self._derive(scope, purpose, b"", size=_KEY_BYTES))

    def _derive(
        self, scope: PrefixScope, purpose: bytes, data: bytes, *, size: int
    ) -> bytes:
        digest = hashlib.blake2b(key=self._secret, digest_size=size, person=b"prefix")
        for part in (purpose, scope.account.encode(), scope.caller.encode(), data):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.digest()
