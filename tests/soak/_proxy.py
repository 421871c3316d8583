"""A loopback proxy for one link, which can be made to misbehave."""

import asyncio
import enum

from tests.platform_standins._http import reset

_DELAY_S = 0.15


class Link(enum.Enum):
    """What happens to bytes on a link."""

    NORMAL = "well"
    DELAYED = "delayed"
    REFUSED = "refused"
    SILENT = "silent"
    ONE_WAY = "one way"


class Proxy:
    """Carries connections to one address; ``mode`` holds for open ones too."""

    def __init__(self, target):
        self.target = target
        self.mode = Link.NORMAL
        self._server = None
        self._pairs = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)

    @property
    def address(self):
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def reset_all(self):
        """Reset every open connection; new ones work."""
        for writer in list(self._pairs):
            if not writer.is_closing():
                reset(writer)

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _carry(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._carry_both(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._pairs.discard(writer)
            self._tasks.discard(task)

    async def _carry_both(self, reader, writer):
        if self.mode is Link.REFUSED:
            reset(writer)
            return
        host, port = self.target.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._pairs |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, is_there=True),
                self._pump(far_reader, writer, is_there=False),
            )
        finally:
            self._pairs.discard(far_writer)
            far_writer.close()
            writer.close()

    async def _pump(self, reader, writer, *, is_there):
        while data := await reader.read(65_536):
            if self.mode is Link.DELAYED:
                await asyncio.sleep(_DELAY_S)
            if self.mode is Link.SILENT or (self.mode is Link.ONE_WAY and not is_there):
                # Once bytes were lost the connection never works again.
                await asyncio.sleep(3_600)
            writer.write(data)
            await writer.drain()
        writer.close()
