"""Prompts of a workload, composed of parts that recur."""

import random
from dataclasses import dataclass

from fireflyward.upstreams import BLOCK_TOKENS

_KEY_BITS = 128
MINUTE_MS = 60_000.0
HOUR_MS = 60 * MINUTE_MS


@dataclass(frozen=True, slots=True)
class Text:
    """A prefix of a prompt: its number of tokens and the keys of its full blocks.

    Keys are drawn at random instead of hashed. Like the keys of ``BlockNames``, two
    keys are equal only for the same prefix of the same client account.
    """

    tokens: int = 0
    keys: tuple[str, ...] = ()

    def extended(self, rng: random.Random, tokens: int) -> "Text":
        """Return this text followed by ``tokens`` new tokens that no other text has."""
        total = self.tokens + tokens
        new = total // BLOCK_TOKENS - len(self.keys)
        keys = (f"{rng.getrandbits(_KEY_BITS):032x}" for _ in range(new))
        return Text(total, (*self.keys, *keys))


@dataclass(frozen=True, slots=True)
class Prompt:
    """One request of a workload.

    ``hinted_blocks`` is how many leading blocks its ``keep`` hint covers.
    """

    at_ms: float
    account: str
    text: Text
    answer_tokens: int
    has_session: bool = False
    hinted_blocks: int = 0


def account_names(count: int) -> tuple[str, ...]:
    """Return the names of client accounts, the largest first."""
    return tuple(f"account-{number + 1}" for number in range(count))


def lognormal(rng: random.Random, median: float, sigma: float) -> float:
    """Draw from the log-normal distribution with this median."""
    return median * rng.lognormvariate(0.0, sigma)


def clamp(value: float, minimum: float, maximum: float) -> int:
    """Return ``value`` limited to the bounds and truncated to an integer."""
    return int(min(max(value, minimum), maximum))
