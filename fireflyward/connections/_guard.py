"""A request body that is sent only while a permit is valid."""

from collections.abc import AsyncIterator, Callable


class PermitExpired(Exception):
    """The body was not sent because its permit expired first."""


class GuardedBody:
    """Calls ``may_send`` immediately before the body is written.

    Between the check that a task makes and the first byte on the wire, the process
    opens a connection and may be paused. The other end runs a request only when it
    has received the complete body, so a request whose body is withheld does not
    run; ``was_withheld`` then proves it.
    """

    __slots__ = ("_body", "_may_send", "was_withheld")

    def __init__(self, body: bytes, may_send: Callable[[], bool]) -> None:
        self._body = body
        self._may_send = may_send
        self.was_withheld = False

    def headers(self) -> dict[str, str]:
        """Return the header with the length of the body."""
        return {"Content-Length": str(len(self._body))}

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body, or raise ``PermitExpired``."""
        if not self._may_send():
            self.was_withheld = True
            raise PermitExpired
        yield self._body
