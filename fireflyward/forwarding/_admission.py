"""Whether a request to a model goes to a replica now or is turned away."""

import random
from dataclasses import dataclass

from fireflyward.outcomes import NotRun, Reason

# A first token that is expected later than this part of its objective counts as
# late. More than one would let a lasting overload hold every answer just above it.
_ON_TIME_SHARE = 1.0
# What is late already runs only where it delays nobody: behind a queue of prompts that
# is shorter than the tightest objectives leave, since replicas read prompts in the
# order in which they came. For a slot it may wait longer, for slots go by rank, but not
# so long that its own deadline comes near.
_LATE_QUEUE_MS = 250.0
_LATE_SHARE = 0.3
_LEAST_RETRY_MS = 200.0
# Callers that were refused together must not come back together. They are late
# whenever they come, so they are spread over a part of the time that they have,
# and leave the first of it to those that can still be on time. A caller waits for
# a third of its time at the most.
_WAITED_SHARE = 1 / 3
_SPREAD_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Prospect:
    """What is expected of a request at its best replica.

    ``queue_ms`` is the time until the replica turns to it, of which ``slot_ms`` is for
    a free slot, and ``first_token_ms`` until its first token;
    ``objective_left_ms`` and ``left_ms`` are what is left of the latency objective and
    of the deadline.
    """

    queue_ms: float
    first_token_ms: float
    objective_left_ms: float
    left_ms: float
    slot_ms: float = 0.0


class Admission:
    """Turns away at once what would be late or make others late; no I/O.

    The load that it answers: prompts come faster than the replicas read them.
    Without a limit the queue in the replicas grows, every request is late, and the
    replicas read prompts whose callers have left. With it, those that are admitted
    stay within their objective, and the others learn at once when to come back.
    """

    __slots__ = ("_random",)

    def __init__(self, *, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def is_late(self, prospect: Prospect) -> bool:
        """Tell whether the objective cannot be met any more."""
        limit_ms = _ON_TIME_SHARE * prospect.objective_left_ms
        return prospect.first_token_ms > limit_ms

    def refusal(self, prospect: Prospect) -> NotRun | None:
        """Return why a request is turned away, None if it may go."""
        if prospect.first_token_ms < prospect.left_ms:
            if not self.is_late(prospect) or prospect.queue_ms <= _LATE_QUEUE_MS:
                return None
        return self.refused(prospect)

    def may_wait(self, prospect: Prospect) -> bool:
        """Tell whether a late request may wait for a slot behind all others."""
        reading_ms = prospect.queue_ms - prospect.slot_ms
        soon = prospect.first_token_ms <= _LATE_SHARE * prospect.left_ms
        return soon and reading_ms <= _LATE_QUEUE_MS

    def refused(self, prospect: Prospect) -> NotRun:
        """Return the refusal of a request, with when to come back."""
        detail = f"first token in {prospect.first_token_ms:.0f} ms"
        return NotRun(Reason.OVERLOADED, detail, self._retry_ms(prospect))

    def _retry_ms(self, prospect: Prospect) -> int:
        """Return when the queue will be short again, spread over what is left."""
        longest_ms = _WAITED_SHARE * prospect.left_ms
        clear_ms = max(_LEAST_RETRY_MS, prospect.queue_ms - _LATE_QUEUE_MS)
        spread_ms = _SPREAD_SHARE * longest_ms * self._random.random()
        return int(max(_LEAST_RETRY_MS, min(clear_ms + spread_ms, longest_ms)))
