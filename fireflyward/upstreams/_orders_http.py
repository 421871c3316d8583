"""HTTP client for engine orders; docs/platform/engine-orders.md describes them."""

import aiohttp
import msgspec

from fireflyward.connections import MAX_REPORT_BYTES, read_body
from fireflyward.decoding import decode_json

from ._messages import Broken, EngineState
from ._orders import EngineOrder, OrderRefused, OrderResult

# The longest time for which this process may be sending an order. The rollout driver
# waits longer than this before it takes over an expired lease (``order_flight_ms`` in
# rollout/_limits.py).
_ORDER_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0
_CONFLICT_STATUS = 409


class HttpOrderedEngine:
    """Sends orders to one replica behind a base URL."""

    __slots__ = ("_base_url", "_session")

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base_url = base_url

    def __repr__(self) -> str:
        return f"HttpOrderedEngine({self._base_url!r})"

    async def send_order(self, order: EngineOrder) -> OrderResult:
        return await self._call("POST", "/v1/orders", msgspec.json.encode(order))

    async def state(self) -> EngineState | Broken:
        return await self._call("GET", "/v1/state", b"")

    async def _call(self, method: str, path: str, body: bytes) -> OrderResult:
        timeout = aiohttp.ClientTimeout(
            total=_ORDER_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method, self._base_url + path, data=body, timeout=timeout
            ) as response:
                reply = await read_body(response, max_bytes=MAX_REPORT_BYTES)
                return _decode_result(response.status, reply)
        except aiohttp.ClientConnectorError as error:
            return Broken(False, f"{type(error).__name__}: {error}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Broken(True, f"{type(error).__name__}: {error}")


def _decode_result(status: int, reply: bytes) -> OrderResult:
    if status not in (200, _CONFLICT_STATUS):
        return Broken(True, f"status {status}")
    kind = OrderRefused if status == _CONFLICT_STATUS else EngineState
    found = decode_json(reply, kind)
    return Broken(True, "the answer cannot be decoded") if found is None else found
