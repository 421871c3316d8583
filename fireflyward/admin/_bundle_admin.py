"""Operators' requests about bundles, independent of HTTP."""

import asyncio
from collections.abc import Mapping
from typing import Protocol

from fireflyward.backing import Committed, Conflict, Unavailable, Uncertain, Weights
from fireflyward.bundles import (
    Bundle,
    BundleError,
    BundleState,
    BundleStore,
    Head,
    NodeStatus,
    Person,
    SignedBundle,
    Statement,
    cross_errors,
    diff,
    digest_of,
    is_in_force_everywhere,
    make_plan,
    parse_bundle,
    read_state,
    statement_of,
    verify_change,
    verify_snapshot,
    weight_errors,
)
from fireflyward.decoding import DECODE_ERRORS

from ._messages import (
    CheckReply,
    ErrorReply,
    HistoryReply,
    PlanReply,
    Problem,
    StatusReply,
    SubmitOutcome,
    SubmitReply,
    make_problem,
)

_RACE_CODES = ("replayed", "other_base")
_RACED_DETAIL = (
    "another bundle was accepted first with this number; fetch it, apply your change "
    "to it and have it signed again"
)


class ServingNode(Protocol):
    """The interface of the node that ``BundleAdmin`` uses."""

    def state(self) -> BundleState | None:
        """Return the bundle in force at this node."""

    async def catch_up(self, number: int) -> bool:
        """Wait briefly for the bundle ``number``, which was accepted."""

    def apply_state(
        self, state: BundleState, changes: tuple[SignedBundle, ...]
    ) -> None:
        """Bring a bundle that was accepted through this node into force."""

    async def node_statuses(self) -> tuple[NodeStatus, ...]:
        """Request from every known node the number of its bundle in force."""


class BundleAdmin:
    """Checks, plans, submits and shows bundles; errors are returned, not raised.

    The only write that changes the service is the acceptance of a bundle that two
    people signed, so operators cannot change anything without a signed bundle.
    """

    def __init__(
        self,
        *,
        deployment: str,
        node: ServingNode,
        store: BundleStore,
        weights: Weights,
        roots: Mapping[str, Person],
    ) -> None:
        self.deployment = deployment
        self._node = node
        self._store = store
        self._weights = weights
        self._roots = roots

    def __repr__(self) -> str:
        return f"BundleAdmin({self.deployment!r})"

    def people(self) -> Mapping[str, Person]:
        """Return the people who may send requests: the bundle's or the trust roots'."""
        state = self._node.state()
        return state.people if state else self._roots

    def number(self) -> int:
        """Return the bundle number in force at this node, 0 before the first bundle."""
        state = self._node.state()
        return state.number if state else 0

    async def check(self, text: str) -> CheckReply:
        """Check an unsigned bundle in TOML."""
        parsed = await asyncio.to_thread(parse_bundle, text)
        if not isinstance(parsed, Bundle):
            return CheckReply(tuple(make_problem(error) for error in parsed))
        problems = []
        if parsed.deployment != self.deployment:
            detail = f"this deployment is {self.deployment!r}"
            problems.append(Problem("other_deployment", "deployment", detail))
        warnings = []
        await self._catch_up_with_head()
        if parsed.number != self.number() + 1:
            detail = f"the next number is {self.number() + 1}"
            problems.append(Problem("other_base", "number", detail))
        versions = await self._weights.versions()
        if isinstance(versions, Unavailable):
            warnings.append(
                "the weight store is unavailable: versions were not checked"
            )
        else:
            found = weight_errors(parsed, versions)
            problems += [make_problem(error) for error in found]
        return CheckReply(tuple(problems), tuple(warnings))

    async def plan(self, signed: SignedBundle) -> PlanReply:
        """Return what a draft or signed bundle would change; ignore its signatures."""
        await self._catch_up_with_head()
        base = self._node.state()
        after = await asyncio.to_thread(
            read_state, signed, base, deployment=self.deployment
        )
        if isinstance(after, BundleError):
            return PlanReply((make_problem(after),))
        problems = await self._find_problems(after.bundle)
        old = base.bundle if base else None
        plan = await asyncio.to_thread(make_plan, old, after.bundle)
        differences = await asyncio.to_thread(diff, old, after.bundle)
        return PlanReply(tuple(problems), plan, differences)

    async def submit(self, signed: SignedBundle) -> SubmitReply:
        """Accept a bundle that two people signed, unless its number is already used."""
        try:
            statement = statement_of(signed)
        except DECODE_ERRORS as error:
            problem = Problem("unreadable", "statement", str(error))
            return SubmitReply(SubmitOutcome.REFUSED, 0, "", problems=(problem,))
        await self._catch_up_with_head()
        base = self._node.state()
        after = await self._verify(signed, base)
        if isinstance(after, BundleError):
            return await self._handle_rejected(signed, statement, after)
        problems = await self._find_problems(after.bundle)
        if problems:
            return SubmitReply(
                SubmitOutcome.REFUSED,
                statement.number,
                after.digest,
                problems=tuple(problems),
            )
        result = await self._store.accept(after.bundle, signed, base=base)
        if isinstance(result, Committed):
            self._node.apply_state(after, (signed,))
            return SubmitReply(SubmitOutcome.ACCEPTED, after.number, after.digest)
        return await self._make_failure_reply(result, signed, statement)

    async def history(self) -> HistoryReply | ErrorReply:
        """Return the last accepted numbers, newest first."""
        heads = await self._store.history()
        if isinstance(heads, Unavailable):
            return ErrorReply("platform_away", heads.detail)
        return HistoryReply(tuple(reversed(heads)))

    async def current(self) -> SignedBundle | ErrorReply:
        """Return the bundle in force with all its parts."""
        await self._catch_up_with_head()
        state = self._node.state()
        if state is None:
            return ErrorReply("no_bundle", "no bundle is in force yet")
        return state.snapshot()

    async def bundle_at(self, number: int) -> SignedBundle | ErrorReply:
        """Return an earlier bundle with all its parts."""
        state = await self._load_state(number)
        return state if isinstance(state, ErrorReply) else state.snapshot()

    async def status(self) -> StatusReply:
        """Return the number in force and the status of every known node."""
        current = await self._store.head()
        state = self._node.state()
        is_confirmed = not isinstance(current, Unavailable)
        head = current[0] if isinstance(current, tuple) else _make_head(state)
        if head.number > self.number():
            await self._node.catch_up(head.number)
        nodes = await self._node.node_statuses()
        return StatusReply(
            head.number,
            head.digest,
            head.author,
            head.approver,
            head.accepted_wall_ms,
            is_confirmed,
            bool(head.number) and is_in_force_everywhere(nodes),
            nodes,
        )

    async def _catch_up_with_head(self) -> None:
        """Load the latest bundle, so that no request is checked against an old one."""
        current = await self._store.head()
        if isinstance(current, tuple) and current[0].number > self.number():
            await self._node.catch_up(current[0].number)

    async def _verify(
        self, signed: SignedBundle, base: BundleState | None
    ) -> BundleState | BundleError:
        if base is not None:
            return verify_change(signed, base, deployment=self.deployment)
        return await asyncio.to_thread(
            verify_snapshot, signed, (), roots=self._roots, deployment=self.deployment
        )

    async def _find_problems(self, bundle: Bundle) -> list[Problem]:
        errors = await asyncio.to_thread(lambda: list(cross_errors(bundle)))
        versions = await self._weights.versions()
        if isinstance(versions, Unavailable):
            detail = "is unavailable, so its versions cannot be checked"
            return [Problem("platform_away", "weight store", detail)]
        errors += weight_errors(bundle, versions)
        return [make_problem(error) for error in errors]

    async def _handle_rejected(
        self, signed: SignedBundle, statement: Statement, error: BundleError
    ) -> SubmitReply:
        digest = digest_of(signed.document)
        if error.code in _RACE_CODES and statement.deployment == self.deployment:
            accepted = await self._store.accepted_head(statement.number)
            if isinstance(accepted, Head) and accepted.digest == digest:
                detail = "this bundle was already accepted"
                return SubmitReply(
                    SubmitOutcome.ACCEPTED, statement.number, digest, detail
                )
            if isinstance(accepted, Head):
                return await self._make_race_reply(signed, statement, accepted)
        return SubmitReply(
            SubmitOutcome.REFUSED,
            statement.number,
            digest,
            problems=(make_problem(error),),
        )

    async def _make_failure_reply(
        self,
        result: Conflict | Unavailable | Uncertain,
        signed: SignedBundle,
        statement: Statement,
    ) -> SubmitReply:
        digest = digest_of(signed.document)
        if isinstance(result, Conflict):
            accepted = await self._store.accepted_head(statement.number)
            if isinstance(accepted, Head):
                return await self._make_race_reply(signed, statement, accepted)
            return SubmitReply(
                SubmitOutcome.RACED, statement.number, digest, _RACED_DETAIL
            )
        outcome = (
            SubmitOutcome.UNCERTAIN
            if isinstance(result, Uncertain)
            else SubmitOutcome.UNAVAILABLE
        )
        return SubmitReply(outcome, statement.number, digest, result.detail)

    async def _make_race_reply(
        self, signed: SignedBundle, statement: Statement, winner: Head
    ) -> SubmitReply:
        return SubmitReply(
            SubmitOutcome.RACED,
            statement.number,
            digest_of(signed.document),
            _RACED_DETAIL,
            winner=winner,
            differs=await self._diff_with_winner(signed, statement, winner),
        )

    async def _diff_with_winner(
        self, signed: SignedBundle, statement: Statement, winner: Head
    ) -> tuple:
        """Return how the bundle differs from the winner's; empty if that is unknown."""
        base: BundleState | None = None
        if statement.number > 1:
            found = await self._load_state(statement.number - 1)
            if not isinstance(found, BundleState):
                return ()
            base = found
        mine = read_state(signed, base, deployment=self.deployment)
        theirs = await self._load_state(winner.number)
        if not isinstance(mine, BundleState) or not isinstance(theirs, BundleState):
            return ()
        return await asyncio.to_thread(diff, theirs.bundle, mine.bundle)

    async def _load_state(self, number: int) -> BundleState | ErrorReply:
        state = self._node.state()
        if state is not None and state.number == number:
            return state
        head = await self._store.accepted_head(number)
        if not isinstance(head, Head):
            return ErrorReply("no_bundle", f"bundle {number} is not stored")
        fetched = await self._store.fetch_snapshot(head)
        if not hasattr(fetched, "snapshot"):
            return ErrorReply("platform_away", str(fetched))
        found = await asyncio.to_thread(
            verify_snapshot,
            fetched.snapshot,
            fetched.links,
            roots=self._roots,
            deployment=self.deployment,
        )
        for change in fetched.changes:
            if isinstance(found, BundleError):
                break
            found = verify_change(change, found, deployment=self.deployment)
        if isinstance(found, BundleError):
            return ErrorReply(found.code, str(found))
        return found


def _make_head(state: BundleState | None) -> Head:
    if state is None:
        return Head(0, "")
    people = [signature.person for signature in state.signed.signatures]
    return Head(state.number, state.digest, *people[:2])
