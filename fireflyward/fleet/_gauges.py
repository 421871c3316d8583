"""Metrics of a node's link to the other nodes."""

from fireflyward.peers import PeerLink


def link_gauges(link: PeerLink | None) -> dict[str, int]:
    """Return the bytes sent and received; nothing before the link exists."""
    if link is None:
        return {}
    return {
        "peer_bytes_sent_total": link.bytes_sent,
        "peer_bytes_received_total": link.bytes_received,
    }
