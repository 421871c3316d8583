"""Replicas that the platform lists, and the weights that they should have."""

import hashlib
from dataclasses import dataclass

_INCARNATION_ID_BYTES = 4


@dataclass(frozen=True, slots=True)
class ModelWeights:
    """A model in a replica's memory and the version of its weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """One incarnation of a replica: the replica from one start to the next.

    ``incarnation`` is the replica's name; it may stay the same after a restart.
    ``started_ms`` is the time of the start by the replica's wall clock, 0 if it
    reports none. ``cold_ms`` is for how much longer the replica stays cold.
    ``software`` is the version of the replica's software, which has no order; the
    weights of its models have versions of their own.
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
    software: str = ""

    @property
    def incarnation_id(self) -> int:
        """Return the id of this incarnation in messages between nodes.

        Nodes calculate it from the name and start time, without coordination. In one
        of ten thousand fleets of a thousand replicas, two replicas get the same id;
        each then appears to have the other's load.
        """
        name = f"{self.incarnation}/{self.started_ms}".encode()
        digest = hashlib.blake2b(name, digest_size=_INCARNATION_ID_BYTES).digest()
        return int.from_bytes(digest, "big", signed=True)

    def version_of(self, model: str) -> int | None:
        """Return the version of a model's weights, None if the replica has none."""
        for loaded in self.weights:
            if loaded.model == model:
                return loaded.version
        return None


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An order to send no new requests to the replicas of a failure domain."""

    failure_domain: str


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """The version of a model's weights that all its replicas should load."""

    model: str
    version: int
