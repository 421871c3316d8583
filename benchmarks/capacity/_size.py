"""The deployment sizes for which docs/CAPACITY.md gives figures."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Size:
    """The size and load of a deployment; rates are peak rates of all nodes together."""

    name: str
    nodes: int
    replicas: int
    failure_domains: int
    client_accounts: int
    models: int
    prompts: int
    requests_per_s: float
    tokens_per_s: float
    changes_per_day: float

    @property
    def nodes_per_domain(self) -> float:
        return self.nodes / self.failure_domains

    @property
    def replicas_per_domain(self) -> float:
        return self.replicas / self.failure_domains

    @property
    def requests_per_node(self) -> float:
        return self.requests_per_s / self.nodes

    @property
    def changes_per_s(self) -> float:
        return self.changes_per_day / SECONDS_PER_DAY


PLANNED = Size(
    "in two years", 350, 1_200, 10, 19_000, 17, 320_000, 1_200, 280_000, 1_200
)
# The requirements state the replicas, failure domains and accounts of today but not
# the load of today, which is assumed to be proportional to the replicas.
TODAY = Size("Andinos today", 9, 9, 3, 10, 2, 2_400, 9, 2_100, 9)
