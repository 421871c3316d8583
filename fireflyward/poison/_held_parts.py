"""The parts of prompts that are held back, and when one is tried again."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from fireflyward.quarantine import Free, Held

# A part that was held with little evidence is tried again soon, one with more later,
# and each trial that crashes a replica makes the next wait longer.
_TRIAL_WAITS_MS = (20_000, 600_000, 3_600_000)
# A provisional hold may be wrong for a part that everybody uses.
_PROVISIONAL_TRIAL_WAITS_MS = (2_000, 5_000, 600_000)
# A trial shows little while replicas crash anyway, so it waits for calm.
_CALM_MS = 2_000
_MAX_WAIT_FOR_CALM_MS = 20_000
_STRONG_EVIDENCE_CRASHES = 5
# Held parts that no request had for this long are forgotten.
_UNUSED_MS = 24 * 3_600_000
_MAX_PARTS = 1_000
# A caller whose prompt is held is told to come back no sooner than this.
_MIN_RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, slots=True)
class PartOnTrial:
    """One prompt with the part may be sent, once, by one node."""

    part: int


@dataclass(slots=True)
class PartHold:
    """Why and since when a part is held, and how often it was tried since.

    ``had_answers`` is set if prompts with it had answers before the crashes, and
    ``is_provisional`` if the nodes knew too little of answers to tell.
    """

    crashes: int
    held_ms: int
    used_ms: int
    trials: int = 0
    had_answers: bool = False
    is_provisional: bool = False


class HeldParts:
    """The held parts as one node knows them; no I/O.

    >>> held = HeldParts()
    >>> held.hold(0, 7, crashes=3)
    True
    >>> held.verdict(0, [5])
    Free()
    >>> held.verdict(0, [5, 7])
    Held(detail='3 replicas ended under a part of its prompt', retry_after_ms=20000)
    """

    __slots__ = ("_answered_ms_by_part", "_last_crash_ms", "by_part")

    def __init__(self) -> None:
        self.by_part: dict[int, PartHold] = {}
        self._answered_ms_by_part: OrderedDict[int, int] = OrderedDict()
        self._last_crash_ms: int | None = None

    def __len__(self) -> int:
        return len(self.by_part)

    def verdict(self, now_ms: int, parts: Iterable[int]) -> Free | Held | PartOnTrial:
        """Decide whether a prompt with these parts may be sent to a replica."""
        trial = None
        for part in parts if self.by_part else ():
            hold = self.by_part.get(part)
            if hold is None:
                continue
            hold.used_ms = now_ms
            left_ms = self._trial_left_ms(now_ms, hold)
            if left_ms is None or left_ms > 0:
                return Held(
                    f"{hold.crashes} replicas ended under a part of its prompt",
                    max(_MIN_RETRY_AFTER_MS, int(left_ms or _TRIAL_WAITS_MS[-1])),
                )
            trial = PartOnTrial(part)
        return trial or Free()

    def hold(
        self,
        now_ms: int,
        part: int,
        *,
        crashes: int,
        trials: int = 0,
        had_answers: bool = False,
        is_provisional: bool = False,
        held_ms: int | None = None,
    ) -> bool:
        """Hold a part back; return whether this is new or another trial began.

        ``held_ms`` is when it was held, or tried last, if that was not now. A verdict
        that is not provisional replaces one that is.
        """
        hold = self.by_part.get(part)
        held_ms = now_ms if held_ms is None else held_ms
        if hold is None:
            while len(self.by_part) >= _MAX_PARTS:
                del self.by_part[min(self.by_part, key=self._used_ms)]
            self.by_part[part] = PartHold(
                crashes, held_ms, now_ms, trials, had_answers, is_provisional
            )
            return True
        has_new_trial = trials > hold.trials
        if has_new_trial:
            hold.held_ms, hold.trials = held_ms, trials
        hold.crashes = max(hold.crashes, crashes)
        hold.is_provisional &= is_provisional
        return has_new_trial

    def on_crash(self, now_ms: int) -> None:
        """Record that a replica crashed, whatever was in flight there."""
        self._last_crash_ms = now_ms

    def on_answered(self, now_ms: int, part: int) -> bool:
        """Let prompts with a part pass since one had an answer, here or elsewhere.

        Return whether the part was held.
        """
        answered_ms_by_part = self._answered_ms_by_part
        answered_ms_by_part[part] = now_ms
        answered_ms_by_part.move_to_end(part)
        if len(answered_ms_by_part) > _MAX_PARTS:
            answered_ms_by_part.popitem(last=False)
        return self.clear(part)

    def answered_ms(self, part: int) -> int | None:
        """Return when an answer ended the hold of a part, None if none did."""
        return self._answered_ms_by_part.get(part)

    def clear(self, part: int) -> bool:
        """Let prompts with a part pass again; return whether it was held."""
        return self.by_part.pop(part, None) is not None

    def unused(self, now_ms: int) -> list[int]:
        """Return the parts that no request had for a long time."""
        return [
            part
            for part, hold in self.by_part.items()
            if now_ms - hold.used_ms > _UNUSED_MS
        ]

    def _used_ms(self, part: int) -> int:
        return self.by_part[part].used_ms

    def _trial_left_ms(self, now_ms: int, hold: PartHold) -> int | None:
        """Return the time until the next trial, None if there is none any more."""
        if hold.is_provisional:
            return self._provisional_left_ms(now_ms, hold)
        step = hold.trials
        is_strong = hold.crashes >= _STRONG_EVIDENCE_CRASHES and not hold.had_answers
        if step == 0 and is_strong:
            step = 1
        if step >= len(_TRIAL_WAITS_MS):
            return None
        return hold.held_ms + _TRIAL_WAITS_MS[step] - now_ms

    def _provisional_left_ms(self, now_ms: int, hold: PartHold) -> int | None:
        if hold.trials >= len(_PROVISIONAL_TRIAL_WAITS_MS):
            return None
        at_ms = hold.held_ms + _PROVISIONAL_TRIAL_WAITS_MS[hold.trials]
        if self._last_crash_ms is not None:
            calm_ms = min(
                self._last_crash_ms + _CALM_MS, hold.held_ms + _MAX_WAIT_FOR_CALM_MS
            )
            at_ms = max(at_ms, calm_ms)
        return at_ms - now_ms
