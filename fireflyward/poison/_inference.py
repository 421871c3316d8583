"""Which part of prompts explains crashes of replicas."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from ._crash_log import Crash

# Two crashes with the same part in flight can be chance.
MIN_CRASHES = 3
# With fewer crashes a part without answers is not told to nodes without a link.
MIN_TOLD_CRASHES = 2
# Asked for while little is known of answers, and for a part that had answers before,
# which is more often beside the cause than it is the cause.
# While no prompt has answers, the crashes of others explain that it has none.
_MIN_UNCERTAIN_CRASHES = 5
MIN_SILENCE_MS = 5_000
_MIN_RECENT_ANSWERS = 10
# Replicas that end at the same moment may have one cause that is no prompt.
_MIN_SPAN_MS = 200
# With fewer answers in all, a part without one says nothing. Neither does it if answers
# have been completed for less time than one may take.
_MIN_ANSWERS = 20
_MIN_REMEMBERED_MS = 3_000


@dataclass(frozen=True, slots=True)
class Suspect:
    """A part that was in flight at crashes and in no answer since the first of them.

    ``ends`` are the incarnation ids of the replicas, and ``requests`` is how many
    requests with the part were cut there. ``explains`` is set if the part may be held
    back; another one has too few crashes. ``is_provisional`` is set if the nodes know
    of too few answers, or for too short a time, to conclude that it has none, or if not
    all of them said what they know.
    """

    part: int
    ends: frozenset[int]
    requests: int
    had_answers: bool
    explains: bool = True
    is_provisional: bool = False

    @property
    def crashes(self) -> int:
        """Return how many replicas crashed."""
        return len(self.ends)


def find_suspects(
    now_ms: int,
    crashes: Iterable[Crash],
    held: Collection[int],
    last_completed_ms: Callable[[int], int | None],
    *,
    answers: int,
    recent_answers: int,
    first_answer_ms: int | None,
    is_complete: bool = True,
) -> list[Suspect]:
    """Return the parts that are suspect, the most suspect first; no I/O.

    Every part of every request in flight at a crash is suspect at first. A part that
    all requests share is in each crash, beside the one that causes it, so the number of
    crashes alone does not tell them apart. Answers do: the cause crashes each replica
    before an answer to it is complete. A part counts the crashes since its last answer,
    and one that never had an answer comes before one that had. Among equals the one
    with more crashes comes first, and then the one with fewer requests: a part that
    always stands beside the cause is in other requests too. Crashes with a part that is
    held already are explained by it.

    ``last_completed_ms`` returns when an answer to a prompt with a part was last
    completed, ``answers`` is how many answers were completed in all, ``recent_answers``
    how many of these in the last seconds, and ``first_answer_ms`` when the first was.
    Nodes forget answers when they end, so a part without any shows little at first:
    more crashes are needed then, and the part in the fewest requests of each crash
    comes first. Without ``is_complete``, nodes that run have not said which answers
    they completed. All answers with a part may be theirs, however many others there
    are.
    """
    held_parts = frozenset(held)
    unexplained = [
        crash for crash in crashes if held_parts.isdisjoint(crash.requests_by_part)
    ]
    crash_counts = Counter(
        part for crash in unexplained for part in crash.requests_by_part
    )
    found = []
    for part, crash_count in crash_counts.items():
        if crash_count < MIN_TOLD_CRASHES:
            continue
        answered_ms = last_completed_ms(part)
        since = [
            crash
            for crash in unexplained
            if part in crash.requests_by_part
            and (answered_ms is None or crash.at_ms >= answered_ms)
        ]
        had_answers = answered_ms is not None
        if had_answers and (
            now_ms - answered_ms < MIN_SILENCE_MS
            or recent_answers < _MIN_RECENT_ANSWERS
        ):
            continue
        if len(since) < (MIN_CRASHES if had_answers else MIN_TOLD_CRASHES):
            continue
        knows_little = not had_answers and (
            answers < _MIN_ANSWERS
            or first_answer_ms is None
            or since[0].at_ms - first_answer_ms < _MIN_REMEMBERED_MS
        )
        needed = MIN_CRASHES
        if had_answers or knows_little:
            needed = _MIN_UNCERTAIN_CRASHES
        span_ms = since[-1].at_ms - since[0].at_ms
        suspect = Suspect(
            part,
            frozenset(crash.incarnation_id for crash in since),
            sum(crash.requests_by_part[part] for crash in since),
            had_answers,
            explains=len(since) >= needed and span_ms >= _MIN_SPAN_MS,
            is_provisional=knows_little or not (had_answers or is_complete),
        )
        found.append(suspect)
    return sorted(
        found,
        key=lambda item: (
            not item.explains,
            item.had_answers,
            item.requests / item.crashes if item.is_provisional else 0.0,
            -item.crashes,
            item.requests,
        ),
    )
