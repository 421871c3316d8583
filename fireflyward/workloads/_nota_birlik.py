"""Two days of Nota Birlik Telif Hizmetleri."""

import random
from dataclasses import dataclass

from ._prompts import (
    HOUR_MS,
    MINUTE_MS,
    Prompt,
    Text,
    account_names,
    bounded,
    lognormal,
)

_ACCOUNT_WEIGHTS = (24, 20, 16, 9, 8, 7, 6, 4, 3, 3)
_DAY_HOURS = 24
_SESSION_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class NotaBirlikLoad:
    """How much happens.

    The statement portal has each ledger summarized for its recipients, one after
    the other. Rights-holders then ask about it for the rest of the days, mostly
    after an hour or more. The collecting-society desk has single works tagged;
    those prompts are short and share only the desk's instructions.
    """

    days: int = 2
    open_hours: float = 10.0
    ledgers: int = 500
    question_gap_ms: float = 100 * MINUTE_MS
    disputes: int = 1_900


def nota_birlik_prompts(seed: int, load: NotaBirlikLoad | None = None) -> list[Prompt]:
    """Return the prompts in the order of their times."""
    load = load or NotaBirlikLoad()
    source = random.Random(f"nota-birlik {seed}")
    accounts = account_names(len(_ACCOUNT_WEIGHTS))
    instructions = {account: Text().then(source, 1_500) for account in accounts}
    desk = {account: Text().then(source, 2_500) for account in accounts}
    prompts: list[Prompt] = []
    for _ in range(load.ledgers):
        account = source.choices(accounts, _ACCOUNT_WEIGHTS)[0]
        prompts += _ledger(source, load, account, instructions[account])
    for _ in range(load.disputes):
        account = source.choices(accounts, _ACCOUNT_WEIGHTS)[0]
        text = desk[account].then(
            source, bounded(lognormal(source, 900, 0.5), 100, 5e3)
        )
        prompts.append(Prompt(_open_time(source, load), account, text, 12))
    return sorted(prompts, key=lambda prompt: prompt.at_ms)


def _ledger(
    source: random.Random, load: NotaBirlikLoad, account: str, instructions: Text
) -> list[Prompt]:
    """Return the summaries of one ledger and the questions about it."""
    size = bounded(lognormal(source, 26_000, 0.5), 6_000, 90_000)
    ledger = instructions.then(source, size)
    has_session = source.random() < _SESSION_SHARE
    at_ms = _open_time(source, load)
    prompts = []
    for _ in range(bounded(source.expovariate(1 / 5), 1, 20)):
        prompts.append(_ask(source, at_ms, account, ledger, 250, 300, has_session))
        at_ms += lognormal(source, 0.7 * MINUTE_MS, 0.5)
    end_ms = load.days * _DAY_HOURS * HOUR_MS
    while at_ms < end_ms:
        at_ms += lognormal(source, load.question_gap_ms, 0.9)
        for _ in range(bounded(source.expovariate(1 / 2), 1, 6)):
            if _is_open(at_ms, load):
                ask = _ask(source, at_ms, account, ledger, 80, 120, has_session)
                prompts.append(ask)
            at_ms += lognormal(source, 1.2 * MINUTE_MS, 0.5)
    return prompts


def _ask(
    source: random.Random,
    at_ms: float,
    account: str,
    ledger: Text,
    question_tokens: float,
    answer_tokens: float,
    has_session: bool,
) -> Prompt:
    question = bounded(lognormal(source, question_tokens, 0.5), 20, 2_000)
    answer = bounded(lognormal(source, answer_tokens, 0.5), 20, 1_000)
    return Prompt(at_ms, account, ledger.then(source, question), answer, has_session)


def _open_time(source: random.Random, load: NotaBirlikLoad) -> float:
    day = source.randrange(load.days)
    hour = source.betavariate(1.5, 2.5) * load.open_hours
    return (day * _DAY_HOURS + hour) * HOUR_MS


def _is_open(at_ms: float, load: NotaBirlikLoad) -> bool:
    hour = at_ms / HOUR_MS
    is_day = hour % _DAY_HOURS < load.open_hours
    return is_day and hour < load.days * _DAY_HOURS
