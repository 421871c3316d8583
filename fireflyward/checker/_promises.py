"""The promises that must hold in every run, and their violations."""

import enum
from dataclasses import dataclass


class Promise(enum.StrEnum):
    """The nine promises of the requirements and one that follows from them."""

    WHOLE_BLOCKS = "a freed or partly written block is never read"
    OWN_ACCOUNT = "nothing of a client account reaches another"
    OWN_VERSION = "a new request uses blocks of its own weight version only"
    WHOLE_ANSWER = "every caller gets the whole answer to its own request"
    TRUE_REFUSAL = "a refusal that says not run is true"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    LEAVING_UPSTREAM = "a leaving upstream gets no new work after a few seconds"
    GRACEFUL_STOP = "a planned stop cuts no request"
    BUNDLE_IN_FORCE = "an accepted bundle is in force in seconds and never reverts"
    NOTHING_LOST = "every request that its caller waits for gets an outcome"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, when it was detected and from which observation."""

    promise: Promise
    at_ms: int
    detail: str

    def __str__(self) -> str:
        return f"{self.at_ms} ms: {self.promise} ({self.detail})"
