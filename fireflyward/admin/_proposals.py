"""Bundles that their author signed and that wait for a colleague's signature."""

from collections.abc import Mapping

import msgspec

from fireflyward.backing import Missing, Objects, Table, Unavailable, Uncertain
from fireflyward.bundles import (
    BundleStore,
    Person,
    SignedBundle,
    decode_signed,
    digest_of,
    encode_signed,
    statement_of,
)
from fireflyward.clock import Clock
from fireflyward.decoding import DECODE_ERRORS

from ._messages import ErrorReply, Proposal, ProposalsReply

_KEY_PREFIX = "bundle/proposal/"
_MAX_PROPOSALS = 100


class ProposalStore:
    """Stores proposals: a short row in the table, the bytes in the object store.

    A proposal has no effect on the service. With proposals, colleagues need not send
    files to each other; the approver signs the same statement that the author signed.
    """

    __slots__ = ("_bundle_store", "_clock", "_objects", "_table")

    def __init__(
        self, *, store: BundleStore, table: Table, objects: Objects, clock: Clock
    ) -> None:
        self._bundle_store = store
        self._table = table
        self._objects = objects
        self._clock = clock

    def __repr__(self) -> str:
        return "ProposalStore()"

    async def add(self, signed: SignedBundle) -> Proposal | ErrorReply:
        """Store a bundle that one person signed."""
        try:
            statement = statement_of(signed)
        except DECODE_ERRORS as error:
            return ErrorReply("unreadable", str(error))
        if len(signed.signatures) != 1:
            return ErrorReply(
                "bad_request",
                "a proposal must have exactly one signature, its author's",
            )
        rows = await self._table.scan(_KEY_PREFIX)
        if isinstance(rows, Unavailable):
            return ErrorReply("platform_away", rows.detail)
        if len(rows) >= _MAX_PROPOSALS:
            return ErrorReply(
                "too_many", f"{_MAX_PROPOSALS} proposals are already waiting"
            )
        proposal = Proposal(
            digest_of(signed.document),
            statement.number,
            statement.author,
            statement.note,
            self._clock.wall_ms(),
            statement.based_on,
        )
        return await self._store_proposal(proposal, encode_signed(signed))

    async def all(self, people: Mapping[str, Person]) -> ProposalsReply | ErrorReply:
        """Return all proposals; those based on an older bundle are marked stale."""
        rows = await self._table.scan(_KEY_PREFIX)
        if isinstance(rows, Unavailable):
            return ErrorReply("platform_away", rows.detail)
        current = await self._bundle_store.head()
        digest = current[0].digest if isinstance(current, tuple) else ""
        proposals = [msgspec.json.decode(row.value, type=Proposal) for row in rows]
        return ProposalsReply(
            tuple(
                msgspec.structs.replace(item, is_stale=item.based_on != digest)
                for item in sorted(proposals, key=lambda item: item.proposed_wall_ms)
            )
        )

    async def get(self, digest: str) -> SignedBundle | ErrorReply:
        """Return the signed bundle of a proposal."""
        body = await self._objects.get(_object_name(digest))
        if isinstance(body, Unavailable):
            return ErrorReply("platform_away", body.detail)
        if isinstance(body, Missing):
            return ErrorReply("no_proposal", f"proposal {digest} does not exist")
        return decode_signed(body)

    async def clear(self, number: int) -> None:
        """Delete proposals that are obsolete because ``number`` was accepted."""
        rows = await self._table.scan(_KEY_PREFIX)
        if isinstance(rows, Unavailable):
            return
        expected = {
            row.key: row.version
            for row in rows
            if msgspec.json.decode(row.value, type=Proposal).number <= number
        }
        if expected:
            await self._table.commit(
                expected=expected, puts={}, deletes=tuple(expected)
            )

    async def _store_proposal(
        self, proposal: Proposal, body: bytes
    ) -> Proposal | ErrorReply:
        stored = await self._objects.put(_object_name(proposal.digest), body)
        if isinstance(stored, Unavailable | Uncertain):
            return ErrorReply("platform_away", stored.detail)
        value = msgspec.json.encode(proposal)
        result = await self._table.commit(
            expected={}, puts={_KEY_PREFIX + proposal.digest: value}
        )
        if isinstance(result, Unavailable | Uncertain):
            return ErrorReply("platform_away", result.detail)
        return proposal


def _object_name(digest: str) -> str:
    return f"bundles/proposals/{digest}"
