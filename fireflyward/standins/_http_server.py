"""The base class of the stand-ins' HTTP servers."""

from aiohttp import web


class HttpServer:
    """An aiohttp application that listens on a port of the loopback interface."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._host = host
        self._port = port
        self._runner: web.AppRunner | None = None

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.url!r})"

    @property
    def url(self) -> str:
        return f"http://{self._host}:{self._port}"

    def build_app(self) -> web.Application:
        """Return the application; every subclass must override this."""
        raise TypeError("a subclass must override build_app()")

    async def start(self) -> None:
        """Listen on the port; port 0 selects a free one."""
        self._runner = web.AppRunner(
            self.build_app(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the port and all connections, as in a crash."""
        if self._runner:
            await self._runner.cleanup()
            self._runner = None
