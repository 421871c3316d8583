"""The prompts of one day at Cálculos Estructurales Andinos."""

import random
from dataclasses import dataclass

from fireflyward.upstreams import BLOCK_TOKENS

from ._prompts import (
    HOUR_MS,
    MINUTE_MS,
    Prompt,
    Text,
    account_names,
    clamp,
    lognormal,
)

_ACCOUNT_WEIGHTS = (25, 20, 15, 8, 8, 6, 6, 5, 4, 3)
_CLAUSE_SETS_PER_ACCOUNT = 2
_SESSION_SHARE = 0.6
_HINT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class AndinosLoad:
    """The amount of work in the day shift.

    Engineers open building models, mostly in the first hours. Until the shift ends
    they return to each model for short visits, and ask a few questions per visit.
    The largest client account also sends a batch of check sheets, with one prompt
    for each.
    """

    shift_hours: float = 9.0
    building_models: int = 420
    visit_gap_ms: float = 55 * MINUTE_MS
    batch_prompts: int = 400


def andinos_prompts(seed: int, load: AndinosLoad | None = None) -> list[Prompt]:
    """Return the day's prompts, sorted by time."""
    load = load or AndinosLoad()
    rng = random.Random(f"andinos {seed}")
    accounts = account_names(len(_ACCOUNT_WEIGHTS))
    clauses_by_account = {
        account: [
            Text().extended(rng, clamp(lognormal(rng, 9_000, 0.3), 4_000, 16_000))
            for _ in range(_CLAUSE_SETS_PER_ACCOUNT)
        ]
        for account in accounts
    }
    prompts: list[Prompt] = []
    for _ in range(load.building_models):
        account = rng.choices(accounts, _ACCOUNT_WEIGHTS)[0]
        clauses = rng.choice(clauses_by_account[account])
        prompts += _model_prompts(rng, load, account, clauses)
    largest = accounts[0]
    prompts += _batch_prompts(rng, load, largest, clauses_by_account[largest][0])
    return sorted(prompts, key=lambda prompt: prompt.at_ms)


def _model_prompts(
    rng: random.Random, load: AndinosLoad, account: str, clauses: Text
) -> list[Prompt]:
    """Return the prompts about one building model."""
    size = clamp(lognormal(rng, 10_000, 0.5), 2_000, 40_000)
    model = clauses.extended(rng, size)
    has_session = rng.random() < _SESSION_SHARE
    is_hinted = rng.random() < _HINT_SHARE
    hinted_blocks = clauses.tokens // BLOCK_TOKENS if is_hinted else 0
    end_ms = load.shift_hours * HOUR_MS
    at_ms = rng.betavariate(1.2, 2.5) * end_ms
    prompts = []
    while at_ms < end_ms:
        for _ in range(clamp(rng.expovariate(1 / 4), 1, 12)):
            question = clamp(lognormal(rng, 120, 0.6), 20, 800)
            answer = clamp(lognormal(rng, 60, 0.6), 8, 400)
            text = model.extended(rng, question)
            prompts.append(
                Prompt(at_ms, account, text, answer, has_session, hinted_blocks)
            )
            at_ms += lognormal(rng, 1.5 * MINUTE_MS, 0.6)
        at_ms += lognormal(rng, load.visit_gap_ms, 0.7)
    return [prompt for prompt in prompts if prompt.at_ms < end_ms]


def _batch_prompts(
    rng: random.Random, load: AndinosLoad, account: str, clauses: Text
) -> list[Prompt]:
    """Return the prompts of a script that sends check sheets from mid-shift on.

    They are spread over a ninth of the shift, which is one hour of nine.
    """
    middle_ms = load.shift_hours * HOUR_MS / 2
    span_ms = load.shift_hours * HOUR_MS / 9
    prompts = []
    for _ in range(load.batch_prompts):
        at_ms = middle_ms + rng.random() * span_ms
        text = clauses.extended(rng, clamp(lognormal(rng, 6_000, 0.3), 2_000, 9e4))
        prompts.append(Prompt(at_ms, account, text, 20))
    return prompts
