"""Prompts of a workload, made of parts that return."""

import random
from dataclasses import dataclass

from fireflyward.upstreams import BLOCK_TOKENS

_KEY_BITS = 128
MINUTE_MS = 60_000.0
HOUR_MS = 60 * MINUTE_MS


@dataclass(frozen=True, slots=True)
class Text:
    """The beginning of a prompt: its tokens and the keys of its full blocks.

    Keys are drawn at random instead of hashed; like those of ``BlockNames`` they
    are equal only for equal beginnings of one client account.
    """

    tokens: int = 0
    keys: tuple[str, ...] = ()

    def then(self, source: random.Random, tokens: int) -> "Text":
        """Return this text followed by ``tokens`` that no other text has."""
        total = self.tokens + tokens
        new = total // BLOCK_TOKENS - len(self.keys)
        keys = (f"{source.getrandbits(_KEY_BITS):032x}" for _ in range(new))
        return Text(total, (*self.keys, *keys))


@dataclass(frozen=True, slots=True)
class Prompt:
    """One request of a workload; ``hinted_blocks`` come from its ``keep`` hint."""

    at_ms: float
    account: str
    text: Text
    answer_tokens: int
    has_session: bool = False
    hinted_blocks: int = 0


def account_names(count: int) -> tuple[str, ...]:
    """Return names of client accounts, the large ones first."""
    return tuple(f"account-{number + 1}" for number in range(count))


def lognormal(source: random.Random, median: float, sigma: float) -> float:
    """Draw from a log-normal distribution given by its median."""
    return median * source.lognormvariate(0.0, sigma)


def bounded(value: float, least: float, most: float) -> int:
    """Return ``value`` as a whole number within bounds."""
    return int(min(max(value, least), most))
