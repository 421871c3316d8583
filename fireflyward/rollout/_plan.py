"""The target state of each replica according to a bundle."""

from dataclasses import dataclass

from fireflyward.bundles import Bundle
from fireflyward.upstreams import EngineState

_ENGINE = "engine"


@dataclass(frozen=True, slots=True)
class Target:
    """The target state of one replica; ``adapters`` are ``model/adapter``, sorted."""

    version_by_model: dict[str, str]
    adapters: tuple[str, ...] = ()
    role: str = ""
    honours_fencing: bool = False

    def is_met_by(self, state: EngineState) -> bool:
        """Return whether the state that a replica reported matches this target."""
        return (
            not state.loading
            and state.version_by_model == self.version_by_model
            and set(self.adapters) <= set(state.adapters)
            and (not self.role or state.role == self.role)
        )

    def changes_from(self, state: EngineState) -> tuple[str, ...]:
        """Return the models that the replica must load again or remove."""
        lacking = set(self.adapters) - set(state.adapters)
        reloads = {adapter.partition("/")[0] for adapter in lacking}
        both = set(self.version_by_model) | set(state.version_by_model)
        return tuple(
            model
            for model in sorted(both)
            if self.version_by_model.get(model) != state.version_by_model.get(model)
            or model in reloads
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """The parts of a bundle that the driver of a rollout uses.

    ``versions_by_model`` has the version that new requests of a model are to use; a
    version assigned to single accounts or callers gets no share of other requests.
    """

    bundle_number: int
    target_by_replica: dict[str, Target]
    versions_by_model: dict[str, tuple[str, ...]]


def plan_of(bundle: Bundle) -> Plan:
    """Return the plan of a bundle, the same on every node."""
    target_by_replica = {
        name: _target(bundle, name)
        for name, upstream in sorted(bundle.upstreams.items())
        if upstream.kind == _ENGINE
    }
    return Plan(
        bundle.number,
        target_by_replica,
        {model: (bundle.models[model].version,) for model in sorted(bundle.models)},
    )


def _target(bundle: Bundle, name: str) -> Target:
    upstream = bundle.upstreams[name]
    return Target(
        {model: bundle.version_on(name, model) for model in sorted(upstream.models)},
        tuple(
            f"{model}/{adapter}"
            for model in sorted(upstream.models)
            for adapter in sorted(bundle.models[model].adapters)
        ),
        getattr(upstream, "role", ""),
        upstream.honours_fencing,
    )
