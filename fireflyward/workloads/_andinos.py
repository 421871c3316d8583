"""A day of Cálculos Estructurales Andinos."""

import random
from dataclasses import dataclass

from fireflyward.upstreams import BLOCK_TOKENS

from ._prompts import (
    HOUR_MS,
    MINUTE_MS,
    Prompt,
    Text,
    account_names,
    bounded,
    lognormal,
)

_ACCOUNT_WEIGHTS = (25, 20, 15, 8, 8, 6, 6, 5, 4, 3)
_CLAUSE_SETS = 2
_SESSION_SHARE = 0.6
_HINT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class AndinosLoad:
    """How much happens in the day shift.

    Engineers open building models in the first hours and come back to each for
    short visits of a few questions until the shift ends. The largest account also
    sends one batch of check sheets, each of which is asked about once.
    """

    shift_hours: float = 9.0
    models: int = 420
    visit_gap_ms: float = 55 * MINUTE_MS
    batch_prompts: int = 400


def andinos_prompts(seed: int, load: AndinosLoad | None = None) -> list[Prompt]:
    """Return the day's prompts in the order of their times."""
    load = load or AndinosLoad()
    source = random.Random(f"andinos {seed}")
    accounts = account_names(len(_ACCOUNT_WEIGHTS))
    clauses_by_account = {
        account: [
            Text().then(source, bounded(lognormal(source, 9_000, 0.3), 4_000, 16_000))
            for _ in range(_CLAUSE_SETS)
        ]
        for account in accounts
    }
    prompts: list[Prompt] = []
    for _ in range(load.models):
        account = source.choices(accounts, _ACCOUNT_WEIGHTS)[0]
        clauses = source.choice(clauses_by_account[account])
        prompts += _model_day(source, load, account, clauses)
    largest = accounts[0]
    prompts += _batch(source, load, largest, clauses_by_account[largest][0])
    return sorted(prompts, key=lambda prompt: prompt.at_ms)


def _model_day(
    source: random.Random, load: AndinosLoad, account: str, clauses: Text
) -> list[Prompt]:
    """Return all questions about one building model."""
    size = bounded(lognormal(source, 10_000, 0.5), 2_000, 40_000)
    model = clauses.then(source, size)
    has_session = source.random() < _SESSION_SHARE
    is_hinted = source.random() < _HINT_SHARE
    hinted = clauses.tokens // BLOCK_TOKENS if is_hinted else 0
    end_ms = load.shift_hours * HOUR_MS
    at_ms = source.betavariate(1.2, 2.5) * end_ms
    prompts = []
    while at_ms < end_ms:
        for _ in range(bounded(source.expovariate(1 / 4), 1, 12)):
            question = bounded(lognormal(source, 120, 0.6), 20, 800)
            answer = bounded(lognormal(source, 60, 0.6), 8, 400)
            text = model.then(source, question)
            prompts.append(Prompt(at_ms, account, text, answer, has_session, hinted))
            at_ms += lognormal(source, 1.5 * MINUTE_MS, 0.6)
        at_ms += lognormal(source, load.visit_gap_ms, 0.7)
    return [prompt for prompt in prompts if prompt.at_ms < end_ms]


def _batch(
    source: random.Random, load: AndinosLoad, account: str, clauses: Text
) -> list[Prompt]:
    """Return check sheets that a script sends over an hour at midday."""
    middle_ms = load.shift_hours * HOUR_MS / 2
    span_ms = load.shift_hours * HOUR_MS / 9
    prompts = []
    for _ in range(load.batch_prompts):
        at_ms = middle_ms + source.random() * span_ms
        text = clauses.then(source, bounded(lognormal(source, 6_000, 0.3), 2_000, 9e4))
        prompts.append(Prompt(at_ms, account, text, 20))
    return prompts
