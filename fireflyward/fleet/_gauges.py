"""Metrics of a node's connections."""

from fireflyward.http1 import ConnectionPool
from fireflyward.peers import PeerLink


def link_gauges(link: PeerLink | None) -> dict[str, int]:
    """Return the bytes sent and received; nothing before the link exists."""
    if link is None:
        return {}
    return {
        "peer_bytes_sent_total": link.bytes_sent,
        "peer_bytes_received_total": link.bytes_received,
    }


def pool_gauges(pool: ConnectionPool) -> dict[str, int]:
    """Return the connections to replicas, and the memory of requests and responses."""
    return {
        "connections_opened_total": pool.opened,
        "connections_refused_total": pool.refused,
        "connections_timed_out_total": pool.timed_out,
        "bodies_given_up_total": pool.memory.given_up,
        "request_memory_bytes": pool.memory.request_bytes,
        "response_memory_bytes": pool.memory.used_bytes,
        "requests_without_memory_total": pool.memory.refused_requests,
    }
