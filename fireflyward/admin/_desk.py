"""What an operator may ask of a node about bundles, without HTTP."""

import asyncio
from collections.abc import Mapping
from typing import Protocol

import msgspec

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

from ._messages import (
    CheckReply,
    ErrorReply,
    HistoryReply,
    PlanReply,
    Problem,
    StatusReply,
    SubmitOutcome,
    SubmitReply,
    problem_of,
)

_RACE_CODES = ("replayed", "other_base")
_RACED_DETAIL = (
    "another bundle took this number first; fetch it, make your change on top of it "
    "and have it signed again"
)


class ServingNode(Protocol):
    """What the desk needs of the node around it."""

    def state(self) -> BundleState | None:
        """Return the bundle in force at this node."""

    async def catch_up(self, number: int) -> bool:
        """Wait shortly for a number that is known to be accepted."""

    def take(self, state: BundleState, changes: tuple[SignedBundle, ...]) -> None:
        """Serve by a bundle that was accepted through this node."""

    async def node_statuses(self) -> tuple[NodeStatus, ...]:
        """Ask every known node which number it serves by."""


class BundleDesk:
    """Checks, plans, submits and shows; every answer is a value.

    It can do nothing that a signed bundle does not say: the only write that
    changes anything is the acceptance of a bundle that two people signed.
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
        return f"BundleDesk({self.deployment!r})"

    def people(self) -> Mapping[str, Person]:
        """Return who may ask: the people of the bundle in force, or the roots."""
        state = self._node.state()
        return state.people if state else self._roots

    def number(self) -> int:
        """Return the number in force at this node; 0 before the first."""
        state = self._node.state()
        return state.number if state else 0

    async def check(self, text: str) -> CheckReply:
        """Check a bundle in TOML as its author has it, before any signature."""
        parsed = await asyncio.to_thread(parse_bundle, text)
        if not isinstance(parsed, Bundle):
            return CheckReply(tuple(problem_of(error) for error in parsed))
        problems = []
        if parsed.deployment != self.deployment:
            detail = f"this is {self.deployment!r}"
            problems.append(Problem("other_deployment", "deployment", detail))
        warnings = []
        await self._freshen()
        if parsed.number != self.number() + 1:
            detail = f"the next number is {self.number() + 1}"
            problems.append(Problem("other_base", "number", detail))
        versions = await self._weights.versions()
        if isinstance(versions, Unavailable):
            warnings.append("the weight store cannot be read: versions not checked")
        else:
            found = weight_errors(parsed, versions)
            problems += [problem_of(error) for error in found]
        return CheckReply(tuple(problems), tuple(warnings))

    async def plan(self, signed: SignedBundle) -> PlanReply:
        """Tell what a draft or signed bundle would change, signatures aside."""
        await self._freshen()
        base = self._node.state()
        after = await asyncio.to_thread(
            read_state, signed, base, deployment=self.deployment
        )
        if isinstance(after, BundleError):
            return PlanReply((problem_of(after),))
        problems = await self._problems(after.bundle)
        old = base.bundle if base else None
        plan = await asyncio.to_thread(make_plan, old, after.bundle)
        differences = await asyncio.to_thread(diff, old, after.bundle)
        return PlanReply(tuple(problems), plan, differences)

    async def submit(self, signed: SignedBundle) -> SubmitReply:
        """Accept a bundle that two people signed, if nobody else was first."""
        try:
            statement = statement_of(signed)
        except msgspec.DecodeError as error:
            problem = Problem("unreadable", "statement", str(error))
            return SubmitReply(SubmitOutcome.REFUSED, 0, "", problems=(problem,))
        await self._freshen()
        base = self._node.state()
        after = await self._verify(signed, base)
        if isinstance(after, BundleError):
            return await self._refused(signed, statement, after)
        problems = await self._problems(after.bundle)
        if problems:
            return SubmitReply(
                SubmitOutcome.REFUSED,
                statement.number,
                after.digest,
                problems=tuple(problems),
            )
        result = await self._store.accept(after.bundle, signed, base=base)
        if isinstance(result, Committed):
            self._node.take(after, (signed,))
            return SubmitReply(SubmitOutcome.ACCEPTED, after.number, after.digest)
        return await self._not_accepted(result, signed, statement)

    async def history(self) -> HistoryReply | ErrorReply:
        """Return the last accepted numbers, newest first."""
        heads = await self._store.history()
        if isinstance(heads, Unavailable):
            return ErrorReply("platform_away", heads.detail)
        return HistoryReply(tuple(reversed(heads)))

    async def current(self) -> SignedBundle | ErrorReply:
        """Return the bundle in force with all its parts."""
        await self._freshen()
        state = self._node.state()
        if state is None:
            return ErrorReply("no_bundle", "no bundle is in force yet")
        return state.snapshot()

    async def at(self, number: int) -> SignedBundle | ErrorReply:
        """Return an earlier bundle with all its parts."""
        state = await self._state_at(number)
        return state if isinstance(state, ErrorReply) else state.snapshot()

    async def status(self) -> StatusReply:
        """Tell which number is in force and how every known node stands to it."""
        current = await self._store.head()
        state = self._node.state()
        is_confirmed = not isinstance(current, Unavailable)
        head = current[0] if isinstance(current, tuple) else _head_of(state)
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

    async def _freshen(self) -> None:
        """Come up to the head first, so that nobody is judged by an old bundle."""
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

    async def _problems(self, bundle: Bundle) -> list[Problem]:
        errors = await asyncio.to_thread(lambda: list(cross_errors(bundle)))
        versions = await self._weights.versions()
        if isinstance(versions, Unavailable):
            detail = "cannot be read, so that its versions are not known"
            return [Problem("platform_away", "weight store", detail)]
        errors += weight_errors(bundle, versions)
        return [problem_of(error) for error in errors]

    async def _refused(
        self, signed: SignedBundle, statement: Statement, error: BundleError
    ) -> SubmitReply:
        digest = digest_of(signed.document)
        if error.code in _RACE_CODES and statement.deployment == self.deployment:
            owner = await self._store.accepted_head(statement.number)
            if isinstance(owner, Head) and owner.digest == digest:
                detail = "it was accepted before"
                return SubmitReply(
                    SubmitOutcome.ACCEPTED, statement.number, digest, detail
                )
            if isinstance(owner, Head):
                return await self._raced(signed, statement, owner)
        return SubmitReply(
            SubmitOutcome.REFUSED,
            statement.number,
            digest,
            problems=(problem_of(error),),
        )

    async def _not_accepted(
        self,
        result: Conflict | Unavailable | Uncertain,
        signed: SignedBundle,
        statement: Statement,
    ) -> SubmitReply:
        digest = digest_of(signed.document)
        if isinstance(result, Conflict):
            owner = await self._store.accepted_head(statement.number)
            if isinstance(owner, Head):
                return await self._raced(signed, statement, owner)
            return SubmitReply(
                SubmitOutcome.RACED, statement.number, digest, _RACED_DETAIL
            )
        outcome = (
            SubmitOutcome.UNCERTAIN
            if isinstance(result, Uncertain)
            else SubmitOutcome.UNAVAILABLE
        )
        return SubmitReply(outcome, statement.number, digest, result.detail)

    async def _raced(
        self, signed: SignedBundle, statement: Statement, owner: Head
    ) -> SubmitReply:
        return SubmitReply(
            SubmitOutcome.RACED,
            statement.number,
            digest_of(signed.document),
            _RACED_DETAIL,
            winner=owner,
            differs=await self._what_differs(signed, statement, owner),
        )

    async def _what_differs(
        self, signed: SignedBundle, statement: Statement, owner: Head
    ) -> tuple:
        """Return how the loser's bundle differs from the winner's, if it can be."""
        base: BundleState | None = None
        if statement.number > 1:
            found = await self._state_at(statement.number - 1)
            if not isinstance(found, BundleState):
                return ()
            base = found
        mine = read_state(signed, base, deployment=self.deployment)
        theirs = await self._state_at(owner.number)
        if not isinstance(mine, BundleState) or not isinstance(theirs, BundleState):
            return ()
        return await asyncio.to_thread(diff, theirs.bundle, mine.bundle)

    async def _state_at(self, number: int) -> BundleState | ErrorReply:
        state = self._node.state()
        if state is not None and state.number == number:
            return state
        head = await self._store.accepted_head(number)
        if not isinstance(head, Head):
            return ErrorReply("no_bundle", f"number {number} is not kept")
        whole = await self._store.fetch_snapshot(head)
        if not hasattr(whole, "snapshot"):
            return ErrorReply("platform_away", str(whole))
        found = await asyncio.to_thread(
            verify_snapshot,
            whole.snapshot,
            whole.links,
            roots=self._roots,
            deployment=self.deployment,
        )
        for change in whole.changes:
            if isinstance(found, BundleError):
                break
            found = verify_change(change, found, deployment=self.deployment)
        if isinstance(found, BundleError):
            return ErrorReply(found.code, str(found))
        return found


def _head_of(state: BundleState | None) -> Head:
    if state is None:
        return Head(0, "")
    people = [signature.person for signature in state.signed.signatures]
    return Head(state.number, state.digest, *people[:2])
