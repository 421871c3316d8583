"""A loopback proxy for one link, with faults that can be switched on."""

import asyncio
import enum

from tests.platform_standins._http import reset

_DELAY_S = 0.15


class Link(enum.Enum):
    """How a proxy treats the bytes of a link."""

    NORMAL = "normal"
    DELAYED = "delayed"
    REFUSED = "refused"
    SILENT = "silent"
    ONE_WAY = "one way"


class Proxy:
    """Forwards connections to one address.

    A change of ``mode`` applies to open connections too.
    """

    def __init__(self, target):
        self.target = target
        self.mode = Link.NORMAL
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._silenced = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )

    @property
    def address(self):
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def reset_all(self):
        """Reset every open connection; new connections work."""
        for writer in list(self._writers):
            if not writer.is_closing():
                reset(writer)

    def silence_open_connections(self):
        """Lose all further responses on open connections; new connections work."""
        self._silenced |= self._tasks

    async def stop(self):
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _handle_connection(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            self._silenced.discard(task)

    async def _forward(self, reader, writer):
        if self.mode is Link.REFUSED:
            reset(writer)
            return
        host, port = self.target.split(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, target_writer}
        task = asyncio.current_task()
        try:
            await asyncio.gather(
                self._copy_bytes(task, reader, target_writer, is_to_target=True),
                self._copy_bytes(task, target_reader, writer, is_to_target=False),
            )
        except ConnectionError:
            # An orderly close would end a response without a length as if complete.
            reset(writer)
            raise
        finally:
            self._writers.discard(target_writer)
            target_writer.close()
            writer.close()

    async def _copy_bytes(self, task, reader, writer, *, is_to_target):
        while data := await reader.read(65_536):
            if self.mode is Link.DELAYED:
                await asyncio.sleep(_DELAY_S)
            loses_responses = self.mode is Link.ONE_WAY or task in self._silenced
            if self.mode is Link.SILENT or (loses_responses and not is_to_target):
                # The connection has lost bytes, so it never works again.
                await asyncio.sleep(3_600)
            writer.write(data)
            await writer.drain()
        writer.close()
