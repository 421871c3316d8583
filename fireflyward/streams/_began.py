"""What is known of the begin of a stream that a request resumes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Began:
    """The stream began at replicas of this software version.

    ``source`` says how that is known: the name of a node that told it, or why no other
    version is possible. With ``has_others`` the service has replicas of other versions
    too, or had some lately.
    """

    software: str
    source: str
    has_others: bool = False


@dataclass(frozen=True, slots=True)
class UnknownStream:
    """Several versions are possible, and no node that answered knows the stream."""

    detail: str


StreamOrigin = Began | UnknownStream
