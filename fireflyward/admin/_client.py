"""The client of the administration API, which operators' commands use."""

from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from yarl import URL

from fireflyward.bundles import SignedBundle, SigningKey, decode_signed, encode_signed
from fireflyward.clock import Clock
from fireflyward.decoding import DECODE_ERRORS

from ._app import ABOUT_PATH
from ._auth import sign_request
from ._messages import (
    About,
    CheckReply,
    ErrorReply,
    HistoryReply,
    PlanReply,
    Proposal,
    ProposalsReply,
    StatusReply,
    SubmitReply,
)

_TIMEOUT = aiohttp.ClientTimeout(total=30)


@dataclass(frozen=True, slots=True)
class AdminFailed:
    """A call that got no valid response, or was rejected before it had any effect."""

    code: str
    detail: str

    def __str__(self) -> str:
        return f"{self.detail} ({self.code})"


class AdminClient:
    """Signs each request with the operator's key; failures are returned, not raised."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        key: SigningKey,
        *,
        clock: Clock | None = None,
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._key = key
        self._clock = clock or Clock()
        self._about: About | None = None

    def __repr__(self) -> str:
        return f"AdminClient({self._url!r}, {self._key.person!r})"

    async def about(self) -> About | AdminFailed:
        """Return the deployment and the name of the node."""
        body = await self._send("GET", ABOUT_PATH, b"", {})
        return body if isinstance(body, AdminFailed) else _decode(body, About)

    async def check(self, text: str) -> CheckReply | AdminFailed:
        """Check a bundle in TOML."""
        return await self._call("POST", "/v1/check", CheckReply, text.encode())

    async def plan(self, signed: SignedBundle) -> PlanReply | AdminFailed:
        """Return what a bundle would change."""
        return await self._call("POST", "/v1/plan", PlanReply, encode_signed(signed))

    async def submit(self, signed: SignedBundle) -> SubmitReply | AdminFailed:
        """Submit a bundle that two people signed."""
        body = encode_signed(signed)
        return await self._call("POST", "/v1/submit", SubmitReply, body)

    async def current(self) -> SignedBundle | AdminFailed:
        """Return the bundle in force with all its parts."""
        return await self._call("GET", "/v1/bundle", SignedBundle)

    async def bundle_at(self, number: int) -> SignedBundle | AdminFailed:
        """Return an earlier bundle with all its parts."""
        return await self._call("GET", f"/v1/bundle/{number}", SignedBundle)

    async def history(self) -> HistoryReply | AdminFailed:
        """Return the last accepted numbers, newest first."""
        return await self._call("GET", "/v1/history", HistoryReply)

    async def status(self) -> StatusReply | AdminFailed:
        """Return the number in force and the status of every known node."""
        return await self._call("GET", "/v1/status", StatusReply)

    async def propose(self, signed: SignedBundle) -> Proposal | AdminFailed:
        """Store a bundle as a proposal, for a colleague to sign."""
        body = encode_signed(signed)
        return await self._call("POST", "/v1/proposals", Proposal, body)

    async def proposals(self) -> ProposalsReply | AdminFailed:
        """Return the proposals that wait for a colleague's signature."""
        return await self._call("GET", "/v1/proposals", ProposalsReply)

    async def proposal(self, digest: str) -> SignedBundle | AdminFailed:
        """Return the signed bundle of a proposal."""
        return await self._call("GET", f"/v1/proposals/{digest}", SignedBundle)

    async def _call(
        self, method: str, path: str, reply_type: type, body: bytes = b""
    ) -> Any | AdminFailed:
        if self._about is None:
            about = await self.about()
            if isinstance(about, AdminFailed):
                return about
            self._about = about
        headers = sign_request(
            self._key,
            wall_ms=self._clock.wall_ms(),
            deployment=self._about.deployment,
            node_name=self._about.node_name,
            method=method,
            target=path,
            body=body,
        )
        response_body = await self._send(method, path, body, headers)
        if isinstance(response_body, AdminFailed):
            return response_body
        return _decode(response_body, reply_type)

    async def _send(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> bytes | AdminFailed:
        try:
            async with self._session.request(
                method,
                URL(self._url + path, encoded=True),
                data=body,
                headers=headers,
                timeout=_TIMEOUT,
            ) as response:
                response_body = await response.read()
        except aiohttp.ClientConnectorError as error:
            return AdminFailed("not_reached", f"{self._url}: {error}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = f"{self._url}: no complete response, {type(error).__name__}"
            return AdminFailed("answer_lost", detail)
        if response.status == 200:
            return response_body
        rejection = _decode(response_body, ErrorReply)
        if isinstance(rejection, ErrorReply):
            return AdminFailed(rejection.code, rejection.detail)
        return AdminFailed("refused", f"status {response.status}")


def _decode(body: bytes, reply_type: type) -> Any | AdminFailed:
    try:
        if reply_type is SignedBundle:
            return decode_signed(body)
        return msgspec.json.decode(body, type=reply_type)
    except DECODE_ERRORS as error:
        return AdminFailed("unreadable", f"the response could not be decoded: {error}")
