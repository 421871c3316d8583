"""Limits on the capacity and time that a rollout may use."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Limits of a deployment's rollouts; times in milliseconds.

    ``floor_percent`` of a model's replicas stay in service, or all but one where
    that is fewer. ``drain_ms`` is how long a replica's runs may take to finish after
    the replica was claimed; then it is ordered to load, and the engine itself ends the
    remaining runs. ``order_flight_ms`` is the longest time that an order can take to
    arrive.
    """

    loads_at_once: int = 2
    loads_per_minute: int = 120
    floor_percent: int = 60
    drain_ms: int = 10_000
    load_limit_ms: int = 60_000
    watch_ms: int = 3_000
    poll_ms: int = 250
    sweep_ms: int = 2_000
    reads_at_once: int = 25
    fencing_orders_at_once: int = 25
    new_fencing_retry_ms: int = 2_000
    order_flight_ms: int = 5_000
    status_interval_ms: int = 5_000

    def floor_of(self, replicas: int) -> int:
        """Return how many of a model's replicas stay in service.

        >>> [RolloutLimits().floor_of(count) for count in (1, 2, 3, 4, 5, 6)]
        [0, 1, 2, 3, 3, 4]
        """
        share = -(-replicas * self.floor_percent // 100)
        return min(share, replicas - 1)
