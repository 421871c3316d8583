"""Orders to an engine over HTTP, as docs/platform/engine-orders.md writes them."""

import aiohttp
import msgspec

from ._messages import Broken, EngineState
from ._orders import EngineOrder, OrderRefused, OrderResult

# The longest that an order is on its way by this process's doing; the driver's
# wait before it follows a lapsed holder is longer (rollout: ORDER_FLIGHT_MS).
_ORDER_LIMIT_S = 2.0
_CONNECT_LIMIT_S = 1.0
_REFUSED = 409


class HttpOrderedEngine:
    """The orders of one replica behind a base URL."""

    __slots__ = ("_base", "_session")

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base = base_url

    def __repr__(self) -> str:
        return f"HttpOrderedEngine({self._base!r})"

    async def send_order(self, order: EngineOrder) -> OrderResult:
        return await self._call("POST", "/v1/orders", msgspec.json.encode(order))

    async def state(self) -> EngineState | Broken:
        return await self._call("GET", "/v1/state", b"")

    async def _call(self, method: str, path: str, body: bytes) -> OrderResult:
        timeout = aiohttp.ClientTimeout(
            total=_ORDER_LIMIT_S, sock_connect=_CONNECT_LIMIT_S
        )
        try:
            async with self._session.request(
                method, self._base + path, data=body, timeout=timeout
            ) as response:
                return _read(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            return Broken(False, f"{type(error).__name__}: {error}")
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Broken(True, f"{type(error).__name__}: {error}")


def _read(status: int, answer: bytes) -> OrderResult:
    if status == _REFUSED:
        return msgspec.json.decode(answer, type=OrderRefused)
    if status != 200:
        return Broken(True, f"status {status}")
    return msgspec.json.decode(answer, type=EngineState)
