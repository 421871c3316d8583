"""What a node's metrics tell of replicas and of its link."""

from fireflyward.peers import PeerLink
from fireflyward.replicas import ReplicaDirectory


def replica_gauges(directory: ReplicaDirectory, now_ms: int) -> dict[str, int]:
    """Return how many replicas there are, and what keeps requests from some."""
    return {
        "replicas": len(directory),
        "leaving_replicas": sum(state.is_leaving for state in directory.all()),
        "resting_replicas": sum(
            state.backpressure.rest_ms(now_ms) > 0 for state in directory.all()
        ),
        "limited_replicas": sum(
            state.backpressure.limit.per_second is not None for state in directory.all()
        ),
        "cold_replicas": sum(state.is_cold(now_ms) for state in directory.all()),
        "evacuated_failure_domains": len(directory.evacuated),
        "unreachable_failure_domains": len(directory.unreachable),
    }


def link_gauges(link: PeerLink | None) -> dict[str, int]:
    """Return the bytes between this node and others, none before there is a link."""
    if link is None:
        return {}
    return {
        "peer_bytes_sent_total": link.bytes_sent,
        "peer_bytes_received_total": link.bytes_received,
    }
