"""The prompts of two days at Nota Birlik Telif Hizmetleri."""

import random
from dataclasses import dataclass

from ._prompts import (
    HOUR_MS,
    MINUTE_MS,
    Prompt,
    Text,
    account_names,
    clamp,
    lognormal,
)

_ACCOUNT_WEIGHTS = (24, 20, 16, 9, 8, 7, 6, 4, 3, 3)
_DAY_HOURS = 24
_SESSION_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class NotaBirlikLoad:
    """The amount of work on all days together.

    The statement portal requests a summary of each ledger for every recipient, one
    after the other. Rights-holders then ask questions about the ledger for the rest
    of the days, mostly an hour or more apart. The collecting-society desk requests
    tags for single works (``disputes``); these prompts are short and share only the
    desk's instructions.
    """

    days: int = 2
    open_hours: float = 10.0
    ledgers: int = 500
    question_gap_ms: float = 100 * MINUTE_MS
    disputes: int = 1_900


def nota_birlik_prompts(seed: int, load: NotaBirlikLoad | None = None) -> list[Prompt]:
    """Return the prompts, sorted by time."""
    load = load or NotaBirlikLoad()
    rng = random.Random(f"nota-birlik {seed}")
    accounts = account_names(len(_ACCOUNT_WEIGHTS))
    instructions = {account: Text().extended(rng, 1_500) for account in accounts}
    desk = {account: Text().extended(rng, 2_500) for account in accounts}
    prompts: list[Prompt] = []
    for _ in range(load.ledgers):
        account = rng.choices(accounts, _ACCOUNT_WEIGHTS)[0]
        prompts += _ledger_prompts(rng, load, account, instructions[account])
    for _ in range(load.disputes):
        account = rng.choices(accounts, _ACCOUNT_WEIGHTS)[0]
        text = desk[account].extended(rng, clamp(lognormal(rng, 900, 0.5), 100, 5e3))
        prompts.append(Prompt(_draw_open_time_ms(rng, load), account, text, 12))
    return sorted(prompts, key=lambda prompt: prompt.at_ms)


def _ledger_prompts(
    rng: random.Random, load: NotaBirlikLoad, account: str, instructions: Text
) -> list[Prompt]:
    """Return the summaries of one ledger and the questions about it."""
    size = clamp(lognormal(rng, 26_000, 0.5), 6_000, 90_000)
    ledger = instructions.extended(rng, size)
    has_session = rng.random() < _SESSION_SHARE
    at_ms = _draw_open_time_ms(rng, load)
    prompts = []
    for _ in range(clamp(rng.expovariate(1 / 5), 1, 20)):
        prompts.append(
            _question_prompt(rng, at_ms, account, ledger, 250, 300, has_session)
        )
        at_ms += lognormal(rng, 0.7 * MINUTE_MS, 0.5)
    end_ms = load.days * _DAY_HOURS * HOUR_MS
    while at_ms < end_ms:
        at_ms += lognormal(rng, load.question_gap_ms, 0.9)
        for _ in range(clamp(rng.expovariate(1 / 2), 1, 6)):
            if _is_within_open_hours(at_ms, load):
                prompt = _question_prompt(
                    rng, at_ms, account, ledger, 80, 120, has_session
                )
                prompts.append(prompt)
            at_ms += lognormal(rng, 1.2 * MINUTE_MS, 0.5)
    return prompts


def _question_prompt(
    rng: random.Random,
    at_ms: float,
    account: str,
    ledger: Text,
    question_tokens: float,
    answer_tokens: float,
    has_session: bool,
) -> Prompt:
    question = clamp(lognormal(rng, question_tokens, 0.5), 20, 2_000)
    answer = clamp(lognormal(rng, answer_tokens, 0.5), 20, 1_000)
    return Prompt(at_ms, account, ledger.extended(rng, question), answer, has_session)


def _draw_open_time_ms(rng: random.Random, load: NotaBirlikLoad) -> float:
    day = rng.randrange(load.days)
    hour = rng.betavariate(1.5, 2.5) * load.open_hours
    return (day * _DAY_HOURS + hour) * HOUR_MS


def _is_within_open_hours(at_ms: float, load: NotaBirlikLoad) -> bool:
    hour = at_ms / HOUR_MS
    is_open_hour = hour % _DAY_HOURS < load.open_hours
    return is_open_hour and hour < load.days * _DAY_HOURS
