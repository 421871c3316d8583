"""The requests of a load run, drawn from a seed so that a run can be repeated."""

import enum
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from fireflyward.standins import answer_text

_CLAUSE = "clause {} of the building code that many prompts share. "
_CLAUSES_PER_SET = 24
_MIN_TOKENS = 4
_MAX_TOKENS = 24


class RequestMode(enum.StrEnum):
    """How a caller sends a request.

    ``PROMPT`` requests the answer to a prompt as one plain response, ``STREAM`` as a
    stream of pieces, and ``CALL`` is a non-idempotent call of a plain service.
    """

    PROMPT = "prompt"
    STREAM = "stream"
    CALL = "call"


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The number and kind of requests, and the client accounts that send them.

    ``key_by_account`` holds the callers' keys, and ``versions`` the weight versions
    whose answers are correct. The prompts of an account start with one of
    ``clause_sets`` texts, so that later prompts reuse computed prefixes. An empty
    ``service_path`` means that no plain service is called.
    """

    seed: int
    requests: int
    key_by_account: dict[str, str]
    model: str = "clauses"
    versions: tuple[str, ...] = ("v1",)
    service_path: str = "/services/drafting/revisions"
    clause_sets: int = 8
    share_by_mode: dict[RequestMode, float] = field(
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

    def expected_answers(self, plan: LoadPlan) -> tuple[str, ...]:
        """Return all correct answers to the request."""
        if self.mode is RequestMode.CALL:
            path = "/" + plan.service_path.split("/", 3)[3]
            return (f"POST {path}\n{self.text}",)
        return tuple(
            answer_text(plan.model, version, "", self.text, self.max_tokens)
            for version in plan.versions
        )


def draw_requests(plan: LoadPlan) -> Iterator[LoadRequest]:
    """Draw the requests of a plan in order."""
    rng = random.Random(plan.seed)
    accounts = sorted(plan.key_by_account)
    modes = [
        mode
        for mode in plan.share_by_mode
        if mode is not RequestMode.CALL or _has_service(plan)
    ]
    shares = [plan.share_by_mode[mode] for mode in modes]
    for index in range(plan.requests):
        account = rng.choice(accounts)
        mode = rng.choices(modes, shares)[0]
        name = f"load-{plan.seed}-{index}"
        text = f"[{name}]"
        if mode is not RequestMode.CALL:
            text = _clauses(account, rng.randrange(plan.clause_sets)) + text
        max_tokens = rng.randint(_MIN_TOKENS, _MAX_TOKENS)
        yield LoadRequest(name, account, mode, text, max_tokens)


def _has_service(plan: LoadPlan) -> bool:
    return bool(plan.service_path)


def _clauses(account: str, number: int) -> str:
    first = number * _CLAUSES_PER_SET
    numbers = range(first, first + _CLAUSES_PER_SET)
    return f"{account}: " + "".join(_CLAUSE.format(clause) for clause in numbers)
