"""Prompts that a replica has not read to their end, as far as this node can tell."""

# What counts as left of a prompt goes down in steps, so that nodes need not tell each
# other of every ms that passes.
_STEPS = 8
# A prompt without a first token counts for two of the steps, however late it is: the
# replica may have stalled, and then more must not be sent after it.
_LEAST_STEPS = 2


class UnreadPrompt:
    """One prompt on its way through a replica.

    It is taken to be read between ``begin_ms`` and ``end_ms``; someone who comes in
    the middle of that waits for half of it and not for all.

    >>> prompt = UnreadPrompt(9_600, begin_ms=100, end_ms=200)
    >>> prompt.left(50), prompt.left(150), prompt.left(900)
    (9600, 4800, 2400)
    """

    __slots__ = ("_begin_ms", "_end_ms", "tokens")

    def __init__(self, tokens: int, *, begin_ms: float, end_ms: float) -> None:
        self.tokens = tokens
        self._begin_ms = begin_ms
        self._end_ms = max(end_ms, begin_ms + 1.0)

    def left(self, now_ms: int) -> int:
        """Return how many of its tokens are probably still to be read."""
        share = (self._end_ms - now_ms) / (self._end_ms - self._begin_ms)
        steps = min(max(round(share * _STEPS), _LEAST_STEPS), _STEPS)
        return self.tokens * steps // _STEPS
