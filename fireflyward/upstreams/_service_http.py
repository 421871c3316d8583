"""A plain service over HTTP."""

import aiohttp

from fireflyward.outcomes import Reason

from ._messages import Broken, Refused, ServiceCall, ServiceReply

_CONNECT_LIMIT_S = 2.0
_NOT_RUN_HEADER = "X-Not-Run"


class HttpService:
    """One replica of a plain service behind a base URL."""

    __slots__ = ("_base", "_deadline_s", "_session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        *,
        deadline_ms: int = 30_000,
    ) -> None:
        self._session = session
        self._base = base_url
        self._deadline_s = deadline_ms / 1_000

    def __repr__(self) -> str:
        return f"HttpService({self._base!r})"

    async def call(self, call: ServiceCall) -> ServiceReply | Refused | Broken:
        headers = {"X-Run-Id": call.run_id}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.trace_parent:
            headers["traceparent"] = call.trace_parent
        timeout = aiohttp.ClientTimeout(
            total=self._deadline_s, sock_connect=_CONNECT_LIMIT_S
        )
        try:
            async with self._session.request(
                call.method,
                self._base + call.path,
                data=call.body,
                headers=headers,
                timeout=timeout,
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            return Broken(False, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Broken(True, f"{type(error).__name__}: {error}")
        if response.status == 503 and _NOT_RUN_HEADER in response.headers:
            return Refused(Reason.OVERLOADED, "the service did not run it")
        content_type = response.headers.get("Content-Type", "")
        return ServiceReply(response.status, body, content_type)
