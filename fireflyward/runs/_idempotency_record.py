"""The interface of the record that prevents a request from running twice."""

from dataclasses import dataclass
from typing import Protocol

from fireflyward.outcomes import NotRun, Outcome, Unknown, Usage


@dataclass(frozen=True, slots=True)
class Permit:
    """The request may be dispatched until ``valid_until_ms`` of the local clock."""

    valid_until_ms: int


@dataclass(frozen=True, slots=True)
class EarlierAnswer:
    """An earlier request with this key has ended; this is its answer."""

    body: str
    usage: Usage = Usage()
    status: int = 200
    content_type: str = ""


@dataclass(frozen=True, slots=True)
class EarlierRun:
    """An earlier request with this key was dispatched to ``replica``."""

    replica: str


ClaimResult = Permit | EarlierAnswer | EarlierRun | NotRun | Unknown


class IdempotencyRecord(Protocol):
    """The record of one non-idempotent request."""

    async def claim(self, replica: str) -> ClaimResult:
        """Write the record, or return the state of an earlier request with this key."""

    async def settle(self, outcome: Outcome, body: str) -> None:
        """Record how the request ended."""
