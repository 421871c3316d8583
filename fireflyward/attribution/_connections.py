"""The connections over which one request was sent."""


class UsedConnections:
    """The connections over which one request was sent; none carries it again.

    All sends of a request have the same id. If two of them used one connection, a late
    copy of the first one's response could not be told from the second one's response.

    >>> used, first, second = UsedConnections(), object(), object()
    >>> used.add(first)
    >>> first in used, second in used
    (True, False)
    """

    __slots__ = ("_connections",)

    def __init__(self) -> None:
        # A request has a few sends at most.
        self._connections: list[object] = []

    def __contains__(self, connection: object) -> bool:
        return any(used is connection for used in self._connections)

    def add(self, connection: object) -> None:
        """Record the connection of a send that is about to be made."""
        self._connections.append(connection)
