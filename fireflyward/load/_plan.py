"""What is asked: drawn from a seed, so that two runs ask the same."""

import enum
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from fireflyward.standins import answer_text

_CLAUSE = "clause {} of the building code that many prompts share. "
_CLAUSES_IN_SET = 24
_FEWEST_TOKENS = 4
_MOST_TOKENS = 24


class RequestMode(enum.StrEnum):
    """The ways in which a caller asks."""

    PROMPT = "prompt"
    STREAM = "stream"
    CALL = "call"


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """How much is asked, of what and by whom.

    ``key_by_account`` holds callers' keys; ``versions`` are the weight versions
    whose answers are right. Each account draws its prompts' first part from
    ``clause_sets`` texts, so prompts return to prefixes that were computed before.
    ``service_path`` is empty where no plain service is to be called.
    """

    seed: int
    requests: int
    key_by_account: dict[str, str]
    model: str = "clauses"
    versions: tuple[str, ...] = ("v1",)
    service_path: str = "/services/drafting/revisions"
    clause_sets: int = 8
    share_by_way: dict[RequestMode, float] = field(
        default_factory=lambda: {
            RequestMode.PROMPT: 0.45,
            RequestMode.STREAM: 0.45,
            RequestMode.CALL: 0.1,
        }
    )


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """One request of the plan; ``name`` is also its idempotency key."""

    name: str
    account: str
    mode: RequestMode
    text: str
    max_tokens: int

    def answers(self, plan: LoadPlan) -> tuple[str, ...]:
        """Return the texts that answer it rightly."""
        if self.mode is RequestMode.CALL:
            path = "/" + plan.service_path.split("/", 3)[3]
            return (f"POST {path}\n{self.text}",)
        return tuple(
            answer_text(plan.model, version, "", self.text, self.max_tokens)
            for version in plan.versions
        )


def draw_requests(plan: LoadPlan) -> Iterator[LoadRequest]:
    """Draw the requests of a plan in order."""
    drawn = random.Random(plan.seed)
    accounts = sorted(plan.key_by_account)
    ways = [
        mode
        for mode in plan.share_by_way
        if mode is not RequestMode.CALL or _calls(plan)
    ]
    shares = [plan.share_by_way[mode] for mode in ways]
    for index in range(plan.requests):
        account = drawn.choice(accounts)
        mode = drawn.choices(ways, shares)[0]
        name = f"load-{plan.seed}-{index}"
        text = f"[{name}]"
        if mode is not RequestMode.CALL:
            text = _clauses(account, drawn.randrange(plan.clause_sets)) + text
        max_tokens = drawn.randint(_FEWEST_TOKENS, _MOST_TOKENS)
        yield LoadRequest(name, account, mode, text, max_tokens)


def _calls(plan: LoadPlan) -> bool:
    return bool(plan.service_path)


def _clauses(account: str, number: int) -> str:
    first = number * _CLAUSES_IN_SET
    numbers = range(first, first + _CLAUSES_IN_SET)
    return f"{account}: " + "".join(_CLAUSE.format(clause) for clause in numbers)
