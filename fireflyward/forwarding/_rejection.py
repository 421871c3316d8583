"""Updates what is known about a replica that has not run a request."""

from fireflyward.platform import ResponseFacts
from fireflyward.replicas import Choice, ReplicaState

from ._messages import NotRunThere, Rejected, RejectionReason
from ._weights import WeightVersions


def on_rejected(
    now_ms: int,
    choice: Choice,
    rejection: NotRunThere,
    *,
    model: str,
    weights: WeightVersions,
) -> Rejected:
    """Record a response that reports that the request was not run."""
    replica, facts = choice.replica, rejection.facts
    replica.rejections += 1
    if not facts.is_other_replica:
        newest = weights.newest(model)
        if newest is not None and choice.weights != newest:
            replica.on_loading(now_ms)
        else:
            replica.on_full(now_ms)
        return Rejected(RejectionReason.FULL, rejection.detail)
    is_same = facts.incarnation == replica.entry.incarnation
    if is_same and choice.weights is not None:
        _correct_weights(replica, choice, facts, model, weights)
        return Rejected(RejectionReason.OTHER_WEIGHTS, rejection.detail)
    replica.on_send_failure(now_ms)
    return Rejected(RejectionReason.OTHER_REPLICA, rejection.detail)


def _correct_weights(
    replica: ReplicaState,
    choice: Choice,
    facts: ResponseFacts,
    model: str,
    weights: WeightVersions,
) -> None:
    """Prefer the replica's own report to the list, which lags by a heartbeat."""
    other = weights.newest(model)
    if other is None or other == choice.weights:
        other = replica.entry.version_of(model)
    replica.version_by_model[model] = facts.weights or other or choice.weights
