"""Tracks prompt tokens that a replica has not prefilled yet."""

from fireflyward.replicas import ReplicaState


class PendingPrefill:
    """Counts a prompt as unprefilled until its first token or the request's end."""

    __slots__ = ("_replica", "_tokens")

    def __init__(self, replica: ReplicaState, tokens: int) -> None:
        self._replica = replica
        self._tokens = tokens
        replica.unprefilled_tokens += tokens

    def release(self) -> None:
        self._replica.unprefilled_tokens -= self._tokens
        self._tokens = 0
