"""The HTTP server of the administration API, which has its own port."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from fireflyward.bundles import SignedBundle, decode_signed, encode_signed
from fireflyward.clock import Clock
from fireflyward.decoding import DECODE_ERRORS

from ._auth import RequestAuthenticator
from ._bundle_admin import BundleAdmin
from ._messages import About, ErrorReply
from ._proposals import ProposalStore

log = logging.getLogger("fireflyward.admin")

JSON = "application/json"
MSGPACK = "application/msgpack"
ABOUT_PATH = "/v1/about"
_MAX_BODY_BYTES = 64 << 20
_PERSON: web.RequestKey[str] = web.RequestKey("person", str)
_STATUS_BY_CODE = {
    "platform_away": 503,
    "no_bundle": 404,
    "no_proposal": 404,
    "unreadable": 400,
    "bad_request": 400,
}
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class _AdminApi:
    def __init__(
        self,
        bundle_admin: BundleAdmin,
        proposals: ProposalStore,
        authenticator: RequestAuthenticator,
        node_name: str,
        clock: Clock,
    ) -> None:
        self._bundle_admin = bundle_admin
        self._proposals = proposals
        self._authenticator = authenticator
        self._node_name = node_name
        self._clock = clock

    @web.middleware
    async def authenticate(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Reject every request that is not signed by a known person."""
        if request.path == ABOUT_PATH:
            return await handler(request)
        person = self._authenticator.authenticate(
            wall_ms=self._clock.wall_ms(),
            method=request.method,
            target=request.path_qs,
            headers=request.headers,
            body=await request.read(),
            people=self._bundle_admin.people(),
        )
        if isinstance(person, ErrorReply):
            log.warning("admin: %s refused, %s", request.path, person.detail)
            return _json_response(person, 401)
        request[_PERSON] = person
        return await handler(request)

    async def about(self, request: web.Request) -> web.Response:
        return _json_response(
            About(
                self._bundle_admin.deployment,
                self._node_name,
                self._bundle_admin.number(),
            )
        )

    async def check(self, request: web.Request) -> web.Response:
        try:
            text = (await request.read()).decode()
        except UnicodeDecodeError as error:
            return _make_response(ErrorReply("unreadable", str(error)))
        return _make_response(await self._bundle_admin.check(text))

    async def plan(self, request: web.Request) -> web.Response:
        return await self._call_with_bundle(request, self._bundle_admin.plan)

    async def submit(self, request: web.Request) -> web.Response:
        async def submit(signed: SignedBundle) -> Any:
            result = await self._bundle_admin.submit(signed)
            log.info(
                "admin: bundle %d by %s: %s",
                result.number,
                request[_PERSON],
                result.outcome,
            )
            if result.outcome == "accepted":
                await self._proposals.clear(result.number)
            return result

        return await self._call_with_bundle(request, submit)

    async def current(self, request: web.Request) -> web.Response:
        return _make_response(await self._bundle_admin.current())

    async def bundle_at(self, request: web.Request) -> web.Response:
        return _make_response(
            await self._bundle_admin.bundle_at(int(request.match_info["number"]))
        )

    async def history(self, request: web.Request) -> web.Response:
        return _make_response(await self._bundle_admin.history())

    async def status(self, request: web.Request) -> web.Response:
        return _make_response(await self._bundle_admin.status())

    async def propose(self, request: web.Request) -> web.Response:
        return await self._call_with_bundle(request, self._proposals.add)

    async def proposals(self, request: web.Request) -> web.Response:
        return _make_response(await self._proposals.all(self._bundle_admin.people()))

    async def proposal(self, request: web.Request) -> web.Response:
        return _make_response(await self._proposals.get(request.match_info["digest"]))

    async def _call_with_bundle(
        self, request: web.Request, operation: Callable[[SignedBundle], Awaitable[Any]]
    ) -> web.Response:
        try:
            signed = decode_signed(await request.read())
        except DECODE_ERRORS as error:
            return _make_response(ErrorReply("unreadable", str(error)))
        return _make_response(await operation(signed))


def build_admin_app(
    bundle_admin: BundleAdmin,
    proposals: ProposalStore,
    *,
    authenticator: RequestAuthenticator,
    node_name: str,
    clock: Clock,
) -> web.Application:
    """Return the web application for the requests of operators' commands."""
    api = _AdminApi(bundle_admin, proposals, authenticator, node_name, clock)
    app = web.Application(
        client_max_size=_MAX_BODY_BYTES, middlewares=[api.authenticate]
    )
    app.router.add_get(ABOUT_PATH, api.about)
    app.router.add_post("/v1/check", api.check)
    app.router.add_post("/v1/plan", api.plan)
    app.router.add_post("/v1/submit", api.submit)
    app.router.add_get("/v1/bundle", api.current)
    app.router.add_get(r"/v1/bundle/{number:\d{1,12}}", api.bundle_at)
    app.router.add_get("/v1/history", api.history)
    app.router.add_get("/v1/status", api.status)
    app.router.add_post("/v1/proposals", api.propose)
    app.router.add_get("/v1/proposals", api.proposals)
    app.router.add_get("/v1/proposals/{digest:[0-9a-f]{64}}", api.proposal)
    return app


def _make_response(value: Any) -> web.Response:
    if isinstance(value, SignedBundle):
        return web.Response(body=encode_signed(value), content_type=MSGPACK)
    if isinstance(value, ErrorReply):
        return _json_response(value, _STATUS_BY_CODE.get(value.code, 409))
    return _json_response(value)


def _json_response(value: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type=JSON
    )
