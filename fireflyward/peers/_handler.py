"""What handles one kind of message."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

Handle = Callable[[str, Any], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class Handler:
    """The struct of a kind of message, and what is called; see ``PeerLink.register``.

    ``handle_delayed`` gets the datagrams that may have waited while this process did
    not run; with None they are dropped.
    """

    struct_type: type
    handle: Handle
    handle_delayed: Handle | None
