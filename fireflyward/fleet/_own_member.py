"""This node as the others see it in the list of nodes."""

from fireflyward.aggregators import Member
from fireflyward.deployment import FleetSettings


def own_member(settings: FleetSettings) -> Member:
    """Return the node of these settings."""
    address = (settings.ip, settings.peer_ports[0])
    return Member(settings.node, settings.failure_domain, address, settings.link_mbps)
