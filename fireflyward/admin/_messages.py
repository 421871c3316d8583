"""The JSON messages of the administration API."""

import enum

import msgspec

from fireflyward.bundles import BundleError, Difference, Head, NodeStatus, Plan


class About(msgspec.Struct, frozen=True):
    """The identity of the node; the only reply to an unsigned request."""

    deployment: str
    node_name: str
    number: int


class Problem(msgspec.Struct, frozen=True):
    """One reason why a bundle is invalid."""

    code: str
    field: str
    detail: str
    line: int = 0
    value: str = ""
    allowed: str = ""

    def __str__(self) -> str:
        return str(
            BundleError(
                self.field, self.detail, self.line, self.value, self.allowed, self.code
            )
        )


class ErrorReply(msgspec.Struct, frozen=True):
    """Why a call was rejected before it had any effect."""

    code: str
    detail: str


class CheckReply(msgspec.Struct, frozen=True):
    """All problems of a bundle; without any, it can be signed and submitted."""

    problems: tuple[Problem, ...]
    warnings: tuple[str, ...] = ()


class PlanReply(msgspec.Struct, frozen=True):
    """What a signed or drafted bundle would change, or the problems that it has."""

    problems: tuple[Problem, ...]
    plan: Plan | None = None
    differences: tuple[Difference, ...] = ()


class SubmitOutcome(enum.StrEnum):
    """The result of a submission.

    ``UNCERTAIN``: the bundle may still come into force. Submitting the same file
    again is safe and gives a definite result. ``UNAVAILABLE``: the bundle certainly
    did not come into force.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    RACED = "raced"
    UNCERTAIN = "uncertain"
    UNAVAILABLE = "unavailable"


class SubmitReply(msgspec.Struct, frozen=True):
    """The outcome; after a lost race also the winner's head and the differences."""

    outcome: SubmitOutcome
    number: int
    digest: str
    detail: str = ""
    problems: tuple[Problem, ...] = ()
    winner: Head | None = None
    differs: tuple[Difference, ...] = ()


class HistoryReply(msgspec.Struct, frozen=True):
    """The last accepted numbers, newest first."""

    heads: tuple[Head, ...]


class Proposal(msgspec.Struct, frozen=True):
    """A bundle that its author signed and that a colleague has not signed yet."""

    digest: str
    number: int
    author: str
    note: str
    proposed_wall_ms: int
    based_on: str
    is_stale: bool = False


class ProposalsReply(msgspec.Struct, frozen=True):
    """All proposals that wait for a signature."""

    proposals: tuple[Proposal, ...]


class StatusReply(msgspec.Struct, frozen=True):
    """The bundle number in force, and the status of every known node.

    ``is_confirmed`` is false while the table service is unavailable. The number is
    then the one in force at this node, and a higher one may exist.
    """

    number: int
    digest: str
    author: str
    approver: str
    accepted_wall_ms: int
    is_confirmed: bool
    is_in_force_everywhere: bool
    nodes: tuple[NodeStatus, ...]


def make_problem(error: BundleError) -> Problem:
    """Convert a bundle error to a message."""
    return Problem(
        error.code, error.field, error.detail, error.line, error.value, error.allowed
    )
