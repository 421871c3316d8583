"""What the platform lists of replicas and of the weights they should have."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelWeights:
    """A model in a replica's memory and the version of its weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """One incarnation of a replica; another start has another ``incarnation``.

    ``cold_ms`` is how much longer it stays slow after its start.
    """

    incarnation: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    cold_ms: int = 0
    weights: tuple[ModelWeights, ...] = ()

    def version_of(self, model: str) -> int | None:
        """Return the version of a model's weights, None if it has none."""
        for loaded in self.weights:
            if loaded.model == model:
                return loaded.version
        return None


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """The version of a model's weights that all its replicas should have."""

    model: str
    version: int
