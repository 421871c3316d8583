"""The periodic sweep of old run records."""

import random

from fireflyward.clock import Clock
from fireflyward.runs import SWEEP_INTERVAL_MS, Sweeper


async def run_sweeper(sweeper: Sweeper, clock: Clock) -> None:
    """Check for work about once a minute, with random pauses.

    The random pauses keep the nodes from sweeping at the same moment.
    """
    rng = random.Random()
    while True:
        await clock.sleep_ms(
            rng.randint(SWEEP_INTERVAL_MS // 2, SWEEP_INTERVAL_MS * 3 // 2)
        )
        await sweeper.poll()
