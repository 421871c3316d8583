"""Accepted bundles in the platform; one conditional write accepts number N+1."""

import msgspec

from fireflyward.backing import (
    Committed,
    Conflict,
    Missing,
    Objects,
    Row,
    Table,
    Unavailable,
    Uncertain,
)
from fireflyward.clock import Clock
from fireflyward.decoding import DECODE_ERRORS
from fireflyward.steps import Step, StepObserver, ignore_step

from ._bundle import Bundle
from ._heads import Head, decode_head
from ._parts import digest_of
from ._signing import SignedBundle, Statement, TrustRef
from ._state import BundleState

HEAD_KEY = "bundle/head"
HISTORY_PREFIX = "bundle/history/"
MAX_HISTORY_ROWS = 2_000
NUMBERS_PER_SNAPSHOT = 64
_MAX_CHANGES = 2 * NUMBERS_PER_SNAPSHOT
_MAX_SETTLE_ATTEMPTS = 4
_SETTLE_PAUSE_MS = 250


_UNREADABLE_HEAD = Unavailable("the head is unreadable")


class AcceptStep(Step):
    """The steps of one acceptance, in order."""

    BEGUN = "accept: begun"
    CHANGE_STORED = "accept: change stored"
    HEAD_READ = "accept: head read"
    HEAD_WRITTEN = "accept: head written, answer not yet judged"
    READ_BACK = "accept: read back after a lost answer"
    SETTLED = "accept: settled"


class Whole(msgspec.Struct, frozen=True):
    """What a node without a bundle needs: trust links, a snapshot and changes."""

    links: tuple[SignedBundle, ...]
    snapshot: SignedBundle
    changes: tuple[SignedBundle, ...]


class BundleStore:
    """Reads and writes accepted bundles through the platform."""

    __slots__ = ("_clock", "_objects", "_observe", "_table")

    def __init__(
        self,
        table: Table,
        objects: Objects,
        *,
        clock: Clock | None = None,
        observe: StepObserver = ignore_step,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock or Clock()
        self._observe = observe

    async def head(self) -> tuple[Head, int] | Missing | Unavailable:
        """Return the head with its row version."""
        row = await self._table.get(HEAD_KEY)
        if not isinstance(row, Row):
            return row
        head = decode_head(row)
        return _UNREADABLE_HEAD if head is None else (head, row.version)

    async def history(self) -> tuple[Head, ...] | Unavailable:
        """Return the last accepted numbers, oldest first."""
        rows = await self._table.scan(HISTORY_PREFIX)
        if isinstance(rows, Unavailable):
            return rows
        heads = [decode_head(row) for row in rows]
        return tuple(head for head in heads if head is not None)

    async def accepted_head(self, number: int) -> Head | Missing | Unavailable:
        """Return the head that was written when ``number`` was accepted."""
        row = await self._table.get(history_key(number))
        if not isinstance(row, Row):
            return row
        return decode_head(row) or _UNREADABLE_HEAD

    async def accept(
        self, bundle: Bundle, signed: SignedBundle, *, base: BundleState | None = None
    ) -> Committed | Conflict | Unavailable | Uncertain:
        """Accept ``bundle`` as the next number, unless another one was accepted first.

        The bytes are stored in the object store under their digest before the head
        names them, so a reader of the head always finds them. The head and the
        number's history row are written together. ``Uncertain`` means that the
        write may still take effect; a repeated call with the same bytes is safe.
        ``base`` is the bundle in force, if the caller has it: from time to time a
        snapshot of it is stored, for nodes that start.
        """
        self._observe(AcceptStep.BEGUN)
        digest = digest_of(signed.document)
        stored = await self._store_change(signed, digest)
        if stored is not None:
            return stored
        self._observe(AcceptStep.CHANGE_STORED)
        current = await self.head()
        if isinstance(current, Unavailable):
            return current
        before, version = (Head(0, ""), 0) if isinstance(current, Missing) else current
        self._observe(AcceptStep.HEAD_READ)
        based_on = statement_of(signed).based_on
        if bundle.number != before.number + 1 or based_on != before.digest:
            return await self._resolve_number(bundle.number, digest, before.number)
        head = self._head_of(signed, digest, before)
        head = await self._store_snapshot_if_due(head, before, base)
        return await self._commit(head, version)

    async def fetch(self, head: Head) -> SignedBundle | Missing | Unavailable:
        """Fetch the signed change that ``head`` names."""
        return await self._get_signed(change_name(head.number, head.digest))

    async def fetch_changes(
        self, head: Head, after: int, *, max_changes: int = _MAX_CHANGES
    ) -> tuple[SignedBundle, ...] | Missing | Unavailable:
        """Fetch the changes that lead from number ``after`` to ``head``.

        Each change names its predecessor, so no table row has to be read.
        """
        changes: list[SignedBundle] = []
        number, digest = head.number, head.digest
        while number > after and len(changes) < max_changes:
            change = await self._get_signed(change_name(number, digest))
            if not isinstance(change, SignedBundle):
                return change
            changes.append(change)
            number, digest = number - 1, statement_of(change).based_on
        if number > after:
            return Missing(f"more than {max_changes} changes before {head.number}")
        return tuple(reversed(changes))

    async def fetch_snapshot(self, head: Head) -> Whole | Missing | Unavailable:
        """Fetch what a node without a bundle needs to reach ``head``.

        That is a snapshot with its trust links, and all changes since, however many:
        nodes must be able to start even if the object store rejected every later
        snapshot.
        """
        changes = await self.fetch_changes(
            head, head.snapshot_number, max_changes=head.number
        )
        if isinstance(changes, Missing | Unavailable):
            return changes
        name = snapshot_name(head.snapshot_number, head.snapshot_digest)
        snapshot = await self._get_signed(name)
        if not isinstance(snapshot, SignedBundle):
            return snapshot
        links = await self._fetch_links(statement_of(snapshot))
        if isinstance(links, Missing | Unavailable):
            return links
        return Whole(links, snapshot, changes)

    async def _fetch_links(
        self, statement: Statement
    ) -> tuple[SignedBundle, ...] | Missing | Unavailable:
        links: list[SignedBundle] = []
        trust = statement.trust_before
        while trust.since:
            link = await self._get_signed(link_name(trust))
            if not isinstance(link, SignedBundle):
                return link
            links.append(link)
            trust = statement_of(link).trust_before
        return tuple(reversed(links))

    async def _get_signed(self, name: str) -> SignedBundle | Missing | Unavailable:
        body = await self._objects.get(name)
        if not isinstance(body, bytes):
            return body
        try:
            return decode_signed(body)
        except DECODE_ERRORS as error:
            return Unavailable(f"{name} is unreadable: {error}")

    async def _store_change(
        self, signed: SignedBundle, digest: str
    ) -> Unavailable | None:
        statement = statement_of(signed)
        body = encode_signed(signed)
        body_by_name = {change_name(statement.number, digest): body}
        if statement.trust.since == statement.number:
            link = SignedBundle(
                signed.document,
                signed.signatures,
                {"trust": signed.parts.get("trust", b"")},
            )
            body_by_name[link_name(statement.trust)] = encode_signed(link)
        if statement.number == 1:
            body_by_name[snapshot_name(1, digest)] = body
        for name, inner in body_by_name.items():
            stored = await self._put_object(name, inner)
            if isinstance(stored, Unavailable):
                return stored
        return None

    async def _store_snapshot_if_due(
        self, head: Head, before: Head, base: BundleState | None
    ) -> Head:
        """Store a snapshot of the bundle in force if one is due.

        Return the head that names it, or the same head if none was stored.
        """
        is_due = head.number - head.snapshot_number > NUMBERS_PER_SNAPSHOT
        if not is_due or base is None or base.digest != before.digest:
            return head
        name = snapshot_name(base.number, base.digest)
        stored = await self._put_object(name, encode_signed(base.snapshot()))
        if isinstance(stored, Unavailable):
            return head
        return msgspec.structs.replace(
            head, snapshot_number=base.number, snapshot_digest=base.digest
        )

    async def _put_object(self, name: str, body: bytes) -> bool | Unavailable:
        """Put an object; if the answer is lost, check by reading the object back.

        An object's name contains the digest of its contents, so a delayed put writes
        the same bytes, and a second put is harmless.
        """
        for _ in range(_MAX_SETTLE_ATTEMPTS):
            result = await self._objects.put(name, body)
            if isinstance(result, Unavailable):
                return Unavailable(f"object store: {result.detail}")
            if not isinstance(result, Uncertain):
                return True
            if await self._objects.get(name) == body:
                return True
            await self._clock.sleep_ms(_SETTLE_PAUSE_MS)
        return Unavailable("object store: its answers are lost; nothing was accepted")

    def _head_of(self, signed: SignedBundle, digest: str, before: Head) -> Head:
        people = [signature.person for signature in signed.signatures]
        author, approver = (people + ["", ""])[:2]
        statement = statement_of(signed)
        is_first = statement.number == 1
        return Head(
            statement.number,
            digest,
            author,
            approver,
            self._clock.wall_ms(),
            1 if is_first else before.snapshot_number,
            digest if is_first else before.snapshot_digest,
            statement.note,
        )

    async def _resolve_number(
        self, number: int, digest: str, current: int
    ) -> Committed | Conflict:
        """Return the result for a number that does not follow the head.

        It is ``Committed`` if this same bundle was accepted before, as when an
        operator submits it again.
        """
        if number <= current:
            found = await self.accepted_head(number)
            if isinstance(found, Head) and found.digest == digest:
                return Committed({HEAD_KEY: current})
        return Conflict({HEAD_KEY: current})

    async def _commit(
        self, head: Head, version: int
    ) -> Committed | Conflict | Unavailable | Uncertain:
        """Write the head, and repeat the write while its outcome is unknown.

        If the answer to the write is lost, the head does not always show whether the
        write took effect: a delayed write may do so later, and another operator may
        already have written the next number. If this were reported as a lost race, the
        operator would submit the change a second time, on top of the first one. The
        history row of the number shows whose write it was. While that row is missing,
        the same conditional write is sent again; at most one of them can take effect.
        """
        lost_answer = Uncertain("the answer was lost")
        may_be_written = False
        for _ in range(_MAX_SETTLE_ATTEMPTS):
            result = await self._write_head(head, version)
            self._observe(AcceptStep.HEAD_WRITTEN)
            if isinstance(result, Committed):
                self._observe(AcceptStep.SETTLED)
                return result
            if isinstance(result, Unavailable) and not may_be_written:
                return result
            may_be_written = may_be_written or isinstance(result, Uncertain)
            accepted_head = await self.accepted_head(head.number)
            self._observe(AcceptStep.READ_BACK)
            if isinstance(accepted_head, Head):
                self._observe(AcceptStep.SETTLED)
                return _result_for(accepted_head, head, version)
            lost_answer = result if isinstance(result, Uncertain) else lost_answer
            await self._clock.sleep_ms(_SETTLE_PAUSE_MS)
        return lost_answer

    async def _write_head(
        self, head: Head, version: int
    ) -> Committed | Conflict | Unavailable | Uncertain:
        value = msgspec.json.encode(head)
        row_key = history_key(head.number)
        expired_number = head.number - MAX_HISTORY_ROWS
        return await self._table.commit(
            expected={HEAD_KEY: version, row_key: 0},
            puts={HEAD_KEY: value, row_key: value},
            deletes=(history_key(expired_number),) if expired_number > 0 else (),
        )


def _result_for(accepted_head: Head, head: Head, version: int) -> Committed | Conflict:
    if accepted_head.digest == head.digest:
        return Committed({HEAD_KEY: version + 1})
    return Conflict({HEAD_KEY: accepted_head.number})


def history_key(number: int) -> str:
    """Return the table key of an accepted number; keys sort in numeric order."""
    return f"{HISTORY_PREFIX}{number:012d}"


def statement_of(signed: SignedBundle) -> Statement:
    """Decode the statement of a bundle whose bytes were checked before."""
    return msgspec.json.decode(signed.document, type=Statement)


def encode_signed(signed: SignedBundle) -> bytes:
    """Return the bytes of a signed bundle in the object store and between nodes."""
    return msgspec.msgpack.encode(signed)


def decode_signed(body: bytes) -> SignedBundle:
    """Decode what ``encode_signed`` encoded; raises ``msgspec.DecodeError``."""
    return msgspec.msgpack.decode(body, type=SignedBundle)


def change_name(number: int, digest: str) -> str:
    """Return the name of the object that holds a signed change."""
    return f"bundles/changes/{number}-{digest}"


def snapshot_name(number: int, digest: str) -> str:
    """Return the name of the object that holds the snapshot of a number."""
    return f"bundles/snapshots/{number}-{digest}"


def link_name(trust: TrustRef) -> str:
    """Return the name of the object that holds a change of trust."""
    return f"bundles/trust/{trust.since}-{trust.digest}"
