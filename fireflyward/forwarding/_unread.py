"""A prompt that a replica has still to read."""

from fireflyward.replicas import ReplicaState


class UnreadPrompt:
    """Counts a prompt as unread at a replica until its first token or its end."""

    __slots__ = ("_replica", "_tokens")

    def __init__(self, replica: ReplicaState, tokens: int) -> None:
        self._replica = replica
        self._tokens = tokens
        replica.unprefilled_tokens += tokens

    def end(self) -> None:
        self._replica.unprefilled_tokens -= self._tokens
        self._tokens = 0
