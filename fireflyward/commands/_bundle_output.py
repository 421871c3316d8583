"""The text output of ``fireflyward bundle``."""

import datetime
from collections.abc import Iterator
from functools import singledispatch
from typing import Any

import msgspec

from fireflyward.admin import (
    HistoryReply,
    ProposalsReply,
    StatusReply,
    SubmitOutcome,
    SubmitReply,
)
from fireflyward.bundles import Difference, Plan

_SHOWN_DIGEST_CHARACTERS = 16
_MAX_LISTED = 40


class WrittenFile(msgspec.Struct, frozen=True):
    """The result of ``new``: a file for the operator to edit."""

    file: str


class CheckedFile(msgspec.Struct, frozen=True):
    """The result of ``check``."""

    file: str
    problems: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


class SignedFile(msgspec.Struct, frozen=True):
    """The result of ``sign``, ``approve`` and ``revert``: a signed file."""

    file: str
    number: int
    digest: str
    signed_by: tuple[str, ...]
    is_proposed: bool
    plan: Plan


@singledispatch
def result_lines(value: Any) -> Iterator[str]:
    """Yield the lines of text that show a result."""
    raise TypeError(f"cannot show {value!r}")


@result_lines.register
def _(value: WrittenFile) -> Iterator[str]:
    yield f"wrote {value.file}; edit it, then: fireflyward bundle check {value.file}"


@result_lines.register
def _(value: CheckedFile) -> Iterator[str]:
    for problem in value.problems:
        yield f"{value.file}: {problem}"
    for warning in value.warnings:
        yield f"{value.file}: warning, {warning}"
    if not value.problems:
        yield f"{value.file}: no problem found"


@result_lines.register(tuple)
def _(value: tuple[Difference, ...]) -> Iterator[str]:
    for item in value:
        yield str(item)
    if not value:
        yield "no difference"


@result_lines.register
def _(value: Plan) -> Iterator[str]:
    yield f"Bundle {value.number} would do this:"
    for sentence in value.sentences:
        yield f"  {sentence}"
    if value.dangers:
        yield "Dangerous:"
    for danger in value.dangers:
        yield f"  ! {danger}"


@result_lines.register
def _(value: SignedFile) -> Iterator[str]:
    yield from result_lines(value.plan)
    yield f"wrote {value.file}, signed by {' and '.join(value.signed_by)}"
    yield f"digest {value.digest}"
    if value.is_proposed:
        yield f"a colleague signs it with: fireflyward bundle approve {value.digest}"


@result_lines.register
def _(value: SubmitReply) -> Iterator[str]:
    if value.outcome is SubmitOutcome.ACCEPTED:
        yield f"bundle {value.number} is accepted. {value.detail}".rstrip()
        yield "watch it come into force: fireflyward bundle status --wait"
        return
    yield f"bundle {value.number}: {value.outcome}. {value.detail}".rstrip()
    for problem in value.problems:
        yield f"  {problem.code}: {problem}"
    if value.winner:
        winner = value.winner
        yield (
            f"  {winner.number} is {winner.author}'s, approved by {winner.approver}, "
            f"{_format_time(winner.accepted_wall_ms)}: {winner.note or 'no note'}"
        )
    for item in value.differs[:_MAX_LISTED]:
        yield f"  difference from theirs to yours: {item}"


@result_lines.register
def _(value: HistoryReply) -> Iterator[str]:
    for head in value.heads:
        yield (
            f"{head.number:>6}  {_format_time(head.accepted_wall_ms)}  {head.author} "
            f"and {head.approver}  {head.digest[:_SHOWN_DIGEST_CHARACTERS]}  "
            f"{head.note}".rstrip()
        )


@result_lines.register
def _(value: ProposalsReply) -> Iterator[str]:
    for item in value.proposals:
        stale = "  (stale: another bundle came first)" if item.is_stale else ""
        yield (
            f"{item.number:>6}  {_format_time(item.proposed_wall_ms)}  {item.author}  "
            f"{item.digest}  {item.note}{stale}".rstrip()
        )
    if not value.proposals:
        yield "no bundle waits for a signature"


@result_lines.register
def _(value: StatusReply) -> Iterator[str]:
    if not value.number:
        yield "no bundle is in force yet"
        return
    yield (
        f"bundle {value.number}, by {value.author or '-'} and {value.approver or '-'}, "
        f"accepted {_format_time(value.accepted_wall_ms)}"
    )
    if not value.is_confirmed:
        yield (
            "  NOT CONFIRMED: the table service cannot be read; this is the highest "
            "number that this node has received"
        )
    for node in value.nodes:
        refused = f"  {node.refused}" if node.refused else ""
        yield (
            f"  {node.name:<24} {node.failure_domain:<16} {node.number:>6}  "
            f"{node.condition} since {_format_time(node.since_wall_ms)}{refused}"
        )
    verdict = "" if value.is_in_force_everywhere else "NOT "
    yield f"{verdict}in force at every reachable node"


def _format_time(wall_ms: int) -> str:
    if not wall_ms:
        return "-"
    moment = datetime.datetime.fromtimestamp(wall_ms / 1_000, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
