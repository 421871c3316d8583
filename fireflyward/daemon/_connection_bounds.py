"""The bounds on the connections of a node's ports, from its settings."""

from collections.abc import Callable
from typing import Any

from fireflyward.deployment import Limits
from fireflyward.inbound import ConnectionMemory, usable_descriptors
from fireflyward.settings import Settings

# For files, upstreams, the platform and other nodes.
_RESERVED_DESCRIPTORS = 200
_CALLERS_SHARE = 0.75
# A few people and programs use the administration port.
_MAX_OPERATORS = 64
_OPERATORS_BYTES = 4 << 20


def connection_bounds(settings: Settings) -> dict[str, Any]:
    """Return the bounds for the port of callers, as ``InboundServer`` takes them."""
    descriptors = usable_descriptors(_RESERVED_DESCRIPTORS)
    return {
        "limits": _limits(settings),
        "memory": ConnectionMemory(settings["connection_memory_bytes"]),
        "max_connections": max(1, int(_CALLERS_SHARE * descriptors)),
    }


def operator_bounds(settings: Settings) -> dict[str, Any]:
    """Return the same for the administration port."""
    return {
        "limits": _limits(settings),
        "memory": ConnectionMemory(_OPERATORS_BYTES),
        "max_connections": _MAX_OPERATORS,
    }


def _limits(settings: Settings) -> Callable[[], Limits]:
    limits = Limits(
        max_header_bytes=settings["max_header_bytes"],
        header_timeout_ms=settings["header_timeout_ms"],
        idle_timeout_ms=settings["idle_timeout_ms"],
    )
    return lambda: limits
