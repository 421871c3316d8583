"""Settings of fuzz tests: a few fixed examples in CI, many random ones by make fuzz."""

import os

from hypothesis import HealthCheck, settings

_REQUESTED_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))


def fuzz(examples: int = 60):
    """Return the decorator of a fuzz test that runs ``examples`` examples in CI."""
    return settings(
        max_examples=_REQUESTED_EXAMPLES or examples,
        derandomize=not _REQUESTED_EXAMPLES,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
