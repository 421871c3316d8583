"""What a node's metrics tell of its link."""

from fireflyward.peers import PeerLink


def link_gauges(link: PeerLink | None) -> dict[str, int]:
    """Return the bytes between this node and others, none before there is a link."""
    if link is None:
        return {}
    return {
        "peer_bytes_sent_total": link.bytes_sent,
        "peer_bytes_received_total": link.bytes_received,
    }
