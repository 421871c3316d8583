"""What the administration API takes and gives, as JSON."""

import enum

import msgspec

from fireflyward.bundles import BundleError, Difference, Head, NodeStatus, Plan


class About(msgspec.Struct, frozen=True):
    """Which node this is; the only answer that needs no signature."""

    deployment: str
    node_name: str
    number: int


class Problem(msgspec.Struct, frozen=True):
    """One reason for a refusal."""

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
    """Why a call was refused before it did anything."""

    code: str
    detail: str


class CheckReply(msgspec.Struct, frozen=True):
    """Every problem found; none means that it could be signed and submitted."""

    problems: tuple[Problem, ...]
    warnings: tuple[str, ...] = ()


class PlanReply(msgspec.Struct, frozen=True):
    """What a signed or drafted bundle would change, or why it cannot."""

    problems: tuple[Problem, ...]
    plan: Plan | None = None
    differences: tuple[Difference, ...] = ()


class SubmitOutcome(enum.StrEnum):
    """What became of a submission.

    ``UNCERTAIN`` may still come into force; submitting the same file again is
    safe and settles it. ``UNAVAILABLE`` certainly did not come into force.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    RACED = "raced"
    UNCERTAIN = "uncertain"
    UNAVAILABLE = "unavailable"


class SubmitReply(msgspec.Struct, frozen=True):
    """The outcome, and for a lost race who won it and what differs."""

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
    """A bundle that its author signed and that waits for a colleague."""

    digest: str
    number: int
    author: str
    note: str
    proposed_wall_ms: int
    based_on: str
    is_stale: bool = False


class ProposalsReply(msgspec.Struct, frozen=True):
    """Every proposal that waits."""

    proposals: tuple[Proposal, ...]


class StatusReply(msgspec.Struct, frozen=True):
    """Which number is in force, and how every known node stands to it.

    ``is_confirmed`` is false while the table service cannot be read: then the
    number is the highest that this node knows of, and a higher one may exist.
    """

    number: int
    digest: str
    author: str
    approver: str
    accepted_wall_ms: int
    is_confirmed: bool
    is_in_force_everywhere: bool
    nodes: tuple[NodeStatus, ...]


def problem_of(error: BundleError) -> Problem:
    """Return the message form of an error."""
    return Problem(
        error.code, error.field, error.detail, error.line, error.value, error.allowed
    )
