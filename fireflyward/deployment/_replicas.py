"""What the platform lists of replicas and of the weights they should have."""

import hashlib
from dataclasses import dataclass

_NUMBER_BYTES = 4


@dataclass(frozen=True, slots=True)
class ModelWeights:
    """A model in a replica's memory and the version of its weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """One start of a replica.

    ``started_ms`` is the wall clock at its start by its own word, 0 if it gives none:
    a replica may start again under the name in ``incarnation``. ``cold_ms`` is how
    much longer it stays slow after its start.
    """

    incarnation: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    cold_ms: int = 0
    weights: tuple[ModelWeights, ...] = ()
    started_ms: int = 0

    @property
    def incarnation_id(self) -> int:
        """Return what nodes call this start of the replica in news of its load.

        It is worked out from the name and so needs no agreement. Two of a thousand
        replicas share a number once in ten thousand fleets, and then seem to have
        each other's load.
        """
        name = f"{self.incarnation}/{self.started_ms}".encode()
        digest = hashlib.blake2b(name, digest_size=_NUMBER_BYTES).digest()
        return int.from_bytes(digest, "big", signed=True)

    def version_of(self, model: str) -> int | None:
        """Return the version of a model's weights, None if it has none."""
        for loaded in self.weights:
            if loaded.model == model:
                return loaded.version
        return None


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The replicas of a failure domain are to get no new requests."""

    failure_domain: str


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """The version of a model's weights that all its replicas should have."""

    model: str
    version: int
