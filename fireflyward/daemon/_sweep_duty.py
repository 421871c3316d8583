"""The periodic sweep of old run records."""

import random

from fireflyward.clock import Clock
from fireflyward.runs import SWEEP_INTERVAL_MS, Sweeper


async def sweep_for_ever(sweeper: Sweeper, clock: Clock) -> None:
    """Look about once a minute; the pauses differ so that nodes do not meet."""
    draw = random.Random()
    while True:
        await clock.sleep_ms(
            draw.randint(SWEEP_INTERVAL_MS // 2, SWEEP_INTERVAL_MS * 3 // 2)
        )
        await sweeper.poll()
