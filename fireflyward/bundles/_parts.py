"""The parts of a bundle, which are hashed, sent, stored and decoded separately.

Accounts and upstreams are distributed over chunks by a checksum of their names, so
that a change of one account changes one chunk of some twenty accounts. A statement
names only the root, which is a hash over the names and hashes of all parts: a node
that has the parts of number N needs only the changed ones for N+1.
"""

import hashlib
import zlib
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from fireflyward.decoding import DECODE_ERRORS

from ._bundle import Account, Bundle, BundleError, Model, Person, Service, Upstream

_ACCOUNTS_PER_CHUNK = 16
_MAX_CHUNKS = 4_096
_MAX_DECODED_CHUNKS = 64
_KEY_PREFIX_BYTES = 8
ACCOUNTS = "accounts"
UPSTREAMS = "upstreams"
TRUST = "trust"
UNCHUNKED_SECTIONS = ("models", "services", TRUST)
NOUN_BY_SECTION = {
    "models": "model",
    "services": "service",
    UPSTREAMS: "upstream",
    ACCOUNTS: "account",
}
_TYPE_BY_SECTION: dict[str, Any] = {
    "models": dict[str, Model],
    "services": dict[str, Service],
    TRUST: dict[str, Person],
    UPSTREAMS: dict[str, Upstream],
    ACCOUNTS: dict[str, Account],
}
EMPTY_PART = b"{}"


def canonical_bytes(value: Any) -> bytes:
    """Return the canonical encoding of a value, as it is signed and hashed."""
    return msgspec.json.encode(value, order="sorted")


def digest_of(document: bytes) -> str:
    """Return the SHA-256 of canonical bytes, in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def chunks_for(count: int, current: int = 0) -> int:
    """Return the number of chunks for ``count`` names, a power of two.

    The current number is kept unless it is off by more than a factor of four,
    because another number moves the names between the chunks and changes them all.
    """
    target_chunks = max(1, -(-count // _ACCOUNTS_PER_CHUNK))
    target_chunks = min(_MAX_CHUNKS, 1 << (target_chunks - 1).bit_length())
    if current and target_chunks <= current * 4 and current <= target_chunks * 4:
        return current
    return target_chunks


def chunk_of(name: str, chunks: int) -> int:
    """Return the chunk to which a name belongs."""
    return zlib.crc32(name.encode()) % chunks


def part_name(section: str, chunk: int) -> str:
    """Return the name of a chunk, such as ``accounts/0012``."""
    return f"{section}/{chunk:04d}"


def section_of(name: str) -> str:
    """Return the section to which a part belongs."""
    return name.partition("/")[0]


def split(bundle: Bundle, chunks: int, upstream_chunks: int) -> dict[str, bytes]:
    """Return the canonical bytes of every part by name; empty chunks are left out."""
    parts = {
        name: canonical_bytes(getattr(bundle, name)) for name in UNCHUNKED_SECTIONS
    }
    parts.update(_split_section(ACCOUNTS, bundle.accounts, chunks))
    parts.update(_split_section(UPSTREAMS, bundle.upstreams, upstream_chunks))
    return parts


def _split_section(
    section: str, table: Mapping[str, Any], chunks: int
) -> dict[str, bytes]:
    table_by_chunk: dict[int, dict[str, Any]] = {}
    for name, item in table.items():
        table_by_chunk.setdefault(chunk_of(name, chunks), {})[name] = item
    return {
        part_name(section, chunk): canonical_bytes(inner)
        for chunk, inner in table_by_chunk.items()
    }


def leaf_of(body: bytes) -> bytes:
    """Return the hash of one part."""
    return hashlib.sha256(body).digest()


def root_of(leaf_by_name: Mapping[str, bytes]) -> str:
    """Return the hash over all parts' names and hashes."""
    total = hashlib.sha256()
    for name in sorted(leaf_by_name):
        total.update(name.encode())
        total.update(leaf_by_name[name])
    return total.hexdigest()


def decode_part(name: str, body: bytes) -> dict[str, Any] | BundleError:
    """Decode a part; reject bytes that are not its canonical form."""
    kind = _TYPE_BY_SECTION.get(section_of(name))
    if kind is None:
        return BundleError(name, "is not a part of a bundle", code="unknown_part")
    try:
        table = msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        return BundleError(name, str(error), code="unreadable")
    if canonical_bytes(table) != body:
        return BundleError(name, "bytes are not canonical", code="not_canonical")
    return table


def find_misplaced(name: str, table: Iterable[str], chunks: int) -> str | None:
    """Return a name that is in the wrong chunk, or None.

    Without this check a name could be in two chunks, with two meanings.
    """
    section = section_of(name)
    if section in UNCHUNKED_SECTIONS:
        return None
    for item in table:
        if part_name(section, chunk_of(item, chunks)) != name:
            return item
    return None


class ChunkedAccounts(Mapping[str, Account]):
    """Client accounts, stored as the encoded bytes of their chunks.

    As objects, 19,000 accounts would need more memory than a node has available for
    them; their bytes and an index with eight bytes of each key's hash do not. A chunk
    is decoded when one of its accounts is needed; the most recently used chunks stay
    decoded.
    """

    __slots__ = ("_body_by_chunk", "_chunk_by_key", "_chunks", "_decoded", "_length")

    def __init__(self, body_by_chunk: Mapping[int, bytes], chunks: int) -> None:
        self._chunks = chunks
        self._body_by_chunk = dict(body_by_chunk)
        self._decoded: dict[int, dict[str, Account]] = {}
        self._chunk_by_key: dict[int, int] = {}
        self._length = 0
        for chunk in self._body_by_chunk:
            self._index_chunk(chunk)

    def __repr__(self) -> str:
        return f"ChunkedAccounts({self._length} accounts, {self._chunks} chunks)"

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[str]:
        for chunk in sorted(self._body_by_chunk):
            yield from self._decode(chunk)

    def __getitem__(self, name: str) -> Account:
        chunk = chunk_of(name, self._chunks)
        if chunk not in self._body_by_chunk:
            raise KeyError(name)
        return self._cached_table(chunk)[name]

    def items(self) -> Iterator[tuple[str, Account]]:
        """Yield names and accounts, decoding one chunk at a time."""
        for chunk in sorted(self._body_by_chunk):
            yield from self._decode(chunk).items()

    def __eq__(self, other: object) -> bool:
        if isinstance(other, Mapping):
            return dict(self.items()) == dict(other.items())
        return NotImplemented

    __hash__ = None

    def find_key(self, digest: str) -> tuple[str, str] | None:
        """Return the account and caller whose key has this SHA-256."""
        chunk = self._chunk_by_key.get(_key_prefix(digest))
        if chunk is None:
            return None
        for name, account in self._cached_table(chunk).items():
            for caller_name, caller in account.callers.items():
                if caller.key_sha256 == digest:
                    return name, caller_name
        return None

    def with_chunks(
        self, body_by_chunk: Mapping[int, bytes | None]
    ) -> "ChunkedAccounts | BundleError":
        """Return a copy with these chunks replaced; None removes a chunk.

        A caller's key that an account in another chunk already has is rejected, since
        answers for one of the two accounts would reach the other one.
        """
        after = ChunkedAccounts({}, self._chunks)
        after._body_by_chunk = dict(self._body_by_chunk)
        after._chunk_by_key = dict(self._chunk_by_key)
        after._length = self._length
        after._decoded = {
            chunk: table
            for chunk, table in self._decoded.items()
            if chunk not in body_by_chunk
        }
        for chunk in body_by_chunk:
            after._remove_chunk(chunk)
        for chunk, body in body_by_chunk.items():
            if body is None:
                continue
            after._body_by_chunk[chunk] = body
            if not after._index_chunk(chunk):
                detail = "a caller's key is already used in another chunk"
                return BundleError(
                    part_name(ACCOUNTS, chunk), detail, code="duplicate_key"
                )
        return after

    def _remove_chunk(self, chunk: int) -> None:
        if chunk not in self._body_by_chunk:
            return
        table = self._decode(chunk)
        self._length -= len(table)
        for key in _key_prefixes(table):
            self._chunk_by_key.pop(key, None)
        del self._body_by_chunk[chunk]

    def _index_chunk(self, chunk: int) -> bool:
        table = self._decode(chunk)
        self._length += len(table)
        for key in _key_prefixes(table):
            if self._chunk_by_key.setdefault(key, chunk) != chunk:
                return False
        return True

    def _cached_table(self, chunk: int) -> dict[str, Account]:
        table = self._decoded.pop(chunk, None)
        if table is None:
            table = self._decode(chunk)
            while len(self._decoded) >= _MAX_DECODED_CHUNKS:
                del self._decoded[next(iter(self._decoded))]
        self._decoded[chunk] = table
        return table

    def _decode(self, chunk: int) -> dict[str, Account]:
        return msgspec.json.decode(
            self._body_by_chunk[chunk], type=_TYPE_BY_SECTION[ACCOUNTS]
        )


def _key_prefixes(table: Mapping[str, Account]) -> Iterator[int]:
    for account in table.values():
        for caller in account.callers.values():
            yield _key_prefix(caller.key_sha256)


def _key_prefix(digest: str) -> int:
    return int(digest[: 2 * _KEY_PREFIX_BYTES], 16)


NO_PARTS: Mapping[str, bytes] = MappingProxyType({})
