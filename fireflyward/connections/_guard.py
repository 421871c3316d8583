"""A request body that leaves only while it may."""

from collections.abc import AsyncIterator, Callable


class PermitExpired(Exception):
    """The body was withheld: its permit ran out before it could leave."""


class GuardedBody:
    """Asks ``may_send`` at the last moment before the body is written.

    Between the check that a task makes and the first byte on the wire lie the
    opening of a connection and any pause of the process. The other end acts on a
    request only when its body is whole, so a body that stays back keeps it from
    running; ``was_withheld`` then proves that it did not.
    """

    __slots__ = ("_body", "_may_send", "was_withheld")

    def __init__(self, body: bytes, may_send: Callable[[], bool]) -> None:
        self._body = body
        self._may_send = may_send
        self.was_withheld = False

    def headers(self) -> dict[str, str]:
        """Return the headers that announce the body's length."""
        return {"Content-Length": str(len(self._body))}

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body, or raise ``PermitExpired``."""
        if not self._may_send():
            self.was_withheld = True
            raise PermitExpired
        yield self._body
