"""A verified bundle with its parts, and drafts of the next one."""

from collections.abc import Mapping
from fnmatch import fnmatchcase
from typing import Any

from ._bundle import ALL, Bundle, BundleError, Person, Upstream
from ._parts import (
    ACCOUNTS,
    EMPTY_PART,
    NOUN_BY_SECTION,
    TRUST,
    UPSTREAMS,
    ChunkedAccounts,
    canonical_bytes,
    chunks_for,
    decode_part,
    digest_of,
    find_misplaced,
    leaf_of,
    root_of,
    section_of,
    split,
)
from ._signing import (
    APPROVER,
    AUTHOR,
    SignedBundle,
    SigningKey,
    Statement,
    TrustRef,
)

NO_TRUST = TrustRef()


class BundleState:
    """One verified number: its statement, its parts and the bundle they form.

    ``people`` may sign the next number. ``links`` are the signed statements that
    changed who may sign, oldest first; a new node verifies them one by one to determine
    whose signatures are valid now.
    """

    __slots__ = (
        "bundle",
        "digest",
        "leaf_by_name",
        "links",
        "part_by_name",
        "people",
        "signed",
        "statement",
    )

    def __init__(
        self,
        *,
        signed: SignedBundle,
        statement: Statement,
        part_by_name: dict[str, bytes],
        leaf_by_name: dict[str, bytes],
        bundle: Bundle,
        people: Mapping[str, Person],
        links: tuple[SignedBundle, ...],
    ) -> None:
        self.signed = signed
        self.statement = statement
        self.digest = digest_of(signed.document)
        self.part_by_name = part_by_name
        self.leaf_by_name = leaf_by_name
        self.bundle = bundle
        self.people = people
        self.links = links

    def __repr__(self) -> str:
        return f"BundleState({self.statement.number}, {self.digest[:12]})"

    @property
    def number(self) -> int:
        return self.statement.number

    def snapshot(self) -> SignedBundle:
        """Return the signed bundle with all parts, from which a node can start."""
        return SignedBundle(
            self.signed.document, self.signed.signatures, dict(self.part_by_name)
        )


def draft(
    bundle: Bundle, *, author: str, base: BundleState | None = None, note: str = ""
) -> SignedBundle:
    """Return the unsigned change from ``base`` to ``bundle``."""
    before = base.statement if base else None
    chunks = chunks_for(len(bundle.accounts), before.chunks if before else 0)
    upstream_chunks = chunks_for(
        len(bundle.upstreams), before.upstream_chunks if before else 0
    )
    part_by_name = split(bundle, chunks, upstream_chunks)
    leaf_by_name = {name: leaf_of(body) for name, body in part_by_name.items()}
    trust_before = before.trust if before else NO_TRUST
    trust = _trust_ref(bundle, part_by_name[TRUST], trust_before)
    statement = Statement(
        bundle.deployment,
        bundle.number,
        base.digest if base else "",
        author,
        note,
        chunks,
        upstream_chunks,
        root_of(leaf_by_name),
        trust,
        trust_before,
    )
    return SignedBundle(
        canonical_bytes(statement), (), _changed_parts(statement, part_by_name, base)
    )


def _changed_parts(
    statement: Statement, part_by_name: dict[str, bytes], base: BundleState | None
) -> dict[str, bytes]:
    if base is None:
        return part_by_name
    before = base.statement
    rechunked = set()
    if before.chunks != statement.chunks:
        rechunked.add(ACCOUNTS)
    if before.upstream_chunks != statement.upstream_chunks:
        rechunked.add(UPSTREAMS)
    base_parts = base.part_by_name
    parts = {
        name: body
        for name, body in part_by_name.items()
        if base_parts.get(name) != body or section_of(name) in rechunked
    }
    parts.update(dict.fromkeys(base_parts.keys() - part_by_name.keys(), b""))
    return parts


def _trust_ref(bundle: Bundle, body: bytes, before: TrustRef) -> TrustRef:
    if body == EMPTY_PART and before == NO_TRUST:
        return NO_TRUST
    digest = digest_of(body)
    return before if digest == before.digest else TrustRef(bundle.number, digest)


def with_author(draft_bundle: SignedBundle, key: SigningKey) -> SignedBundle:
    """Return the draft with its author's signature."""
    signature = key.sign(AUTHOR, draft_bundle.document)
    return SignedBundle(draft_bundle.document, (signature,), draft_bundle.parts)


def with_approver(signed: SignedBundle, key: SigningKey) -> SignedBundle:
    """Return the author's signed bundle with a colleague's approval."""
    signature = key.sign(APPROVER, signed.document)
    signatures = (*signed.signatures[:1], signature)
    return SignedBundle(signed.document, signatures, signed.parts)


def sign_bundle(
    bundle: Bundle,
    *,
    author: SigningKey,
    approver: SigningKey,
    base: BundleState | None = None,
    note: str = "",
) -> SignedBundle:
    """Sign a bundle as both people at once, for the demo and the tests."""
    drafted = draft(bundle, author=author.person, base=base, note=note)
    return with_approver(with_author(drafted, author), approver)


def place_parts(
    statement: Statement, parts: Mapping[str, bytes], base: BundleState | None
) -> tuple[dict[str, bytes], dict[str, bytes]]:
    """Return all parts and their hashes, with ``parts`` replacing those of ``base``."""
    part_by_name = dict(base.part_by_name) if base else {}
    leaf_by_name = dict(base.leaf_by_name) if base else {}
    for name, body in parts.items():
        if body:
            part_by_name[name] = body
            leaf_by_name[name] = leaf_of(body)
        else:
            part_by_name.pop(name, None)
            leaf_by_name.pop(name, None)
    return part_by_name, leaf_by_name


def decode_parts(
    statement: Statement, parts: Mapping[str, bytes]
) -> dict[str, dict[str, Any]] | BundleError:
    """Decode parts; reject those that are unreadable, not canonical or misplaced."""
    table_by_name: dict[str, dict[str, Any]] = {}
    for name, body in parts.items():
        if not body:
            table_by_name[name] = {}
            continue
        table = decode_part(name, body)
        if isinstance(table, BundleError):
            return table
        is_account = section_of(name) == ACCOUNTS
        chunks = statement.chunks if is_account else statement.upstream_chunks
        misplaced_name = find_misplaced(name, table, chunks)
        if misplaced_name is not None:
            detail = f"{misplaced_name!r} belongs to another chunk"
            return BundleError(name, detail, code="misplaced")
        table_by_name[name] = table
    return table_by_name


def assemble(
    statement: Statement,
    part_by_name: Mapping[str, bytes],
    table_by_name: Mapping[str, dict[str, Any]],
    base: BundleState | None,
) -> Bundle | BundleError:
    """Return the bundle, with unchanged sections taken from ``base``."""
    accounts = _accounts(statement, part_by_name, table_by_name, base)
    if isinstance(accounts, BundleError):
        return accounts
    upstreams = _upstreams(statement, table_by_name, base)
    old = base.bundle if base else None
    return Bundle(
        statement.deployment,
        statement.number,
        table_by_name.get("models", old.models if old else {}),
        accounts,
        upstreams,
        table_by_name.get("services", old.services if old else {}),
        table_by_name.get(TRUST, old.trust if old else {}),
    )


def _accounts(
    statement: Statement,
    part_by_name: Mapping[str, bytes],
    table_by_name: Mapping[str, Any],
    base: BundleState | None,
) -> ChunkedAccounts | BundleError:
    body_by_chunk = {
        _chunk_number(name): part_by_name.get(name)
        for name in table_by_name
        if section_of(name) == ACCOUNTS
    }
    is_kept = base is not None and base.statement.chunks == statement.chunks
    before = base.bundle.accounts if is_kept else ChunkedAccounts({}, statement.chunks)
    return before.with_chunks(body_by_chunk) if body_by_chunk else before


def _upstreams(
    statement: Statement,
    table_by_name: Mapping[str, Any],
    base: BundleState | None,
) -> dict[str, Upstream]:
    changed = {
        name: table
        for name, table in table_by_name.items()
        if section_of(name) == UPSTREAMS
    }
    old = base.bundle.upstreams if base else {}
    if not changed:
        return old
    upstreams = dict(old)
    for name in changed:
        body = base.part_by_name.get(name) if base else None
        table = decode_part(name, body) if body else {}
        for upstream_name in table:
            upstreams.pop(upstream_name, None)
    for table in changed.values():
        upstreams.update(table)
    return dict(sorted(upstreams.items()))


def _chunk_number(name: str) -> int:
    return int(name.partition("/")[2])


def changed_entities(
    table_by_name: Mapping[str, dict[str, Any]], base: BundleState | None
) -> set[str]:
    """Return the changed entities, such as ``account:tower-team`` or ``trust``."""
    after: dict[str, Any] = {}
    before: dict[str, Any] = {}
    for name, table in table_by_name.items():
        after.update(_item_by_entity(name, table))
        body = base.part_by_name.get(name) if base else None
        before.update(_item_by_entity(name, decode_part(name, body) if body else {}))
    names = after.keys() | before.keys()
    return {name for name in names if after.get(name) != before.get(name)}


def _item_by_entity(part: str, table: Mapping[str, Any]) -> dict[str, Any]:
    section = section_of(part)
    if section == TRUST:
        return {TRUST: table} if table else {}
    return {f"{NOUN_BY_SECTION[section]}:{name}": item for name, item in table.items()}


def out_of_scope(scopes: tuple[str, ...], entities: set[str]) -> str | None:
    """Return a changed entity that no scope covers, or None."""
    for entity in sorted(entities):
        if not any(scope == ALL or fnmatchcase(entity, scope) for scope in scopes):
            return entity
    return None
