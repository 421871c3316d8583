"""The sizes that the page is worked out for."""

from dataclasses import dataclass

SECONDS_A_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Size:
    """A deployment's size and load; rates are at the peak and of all nodes."""

    name: str
    nodes: int
    replicas: int
    failure_domains: int
    client_accounts: int
    models: int
    prompts: int
    requests_per_s: float
    tokens_per_s: float
    changes_a_day: float

    @property
    def nodes_a_domain(self) -> float:
        return self.nodes / self.failure_domains

    @property
    def replicas_a_domain(self) -> float:
        return self.replicas / self.failure_domains

    @property
    def requests_a_node(self) -> float:
        return self.requests_per_s / self.nodes

    @property
    def changes_per_s(self) -> float:
        return self.changes_a_day / SECONDS_A_DAY


PLANNED = Size(
    "in two years", 350, 1_200, 10, 19_000, 17, 320_000, 1_200, 280_000, 1_200
)
# The brief gives replicas, failure domains and accounts of today; the load of
# today is not given and is taken in proportion to the replicas.
TODAY = Size("Andinos today", 9, 9, 3, 10, 2, 2_400, 9, 2_100, 9)
