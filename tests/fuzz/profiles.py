"""How long to fuzz: the same few examples in CI, many fresh ones by make fuzz."""

import os

from hypothesis import HealthCheck, settings

_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))


def fuzz(examples: int = 60):
    """Return the decorator of a fuzz test that runs ``examples`` times in CI."""
    return settings(
        max_examples=_EXAMPLES or examples,
        derandomize=not _EXAMPLES,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
