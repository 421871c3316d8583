"""The administration API over HTTP, on a port of its own."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from fireflyward.bundles import SignedBundle, decode_signed, encode_signed
from fireflyward.clock import Clock

from ._auth import RequestAuthenticator
from ._bundle_admin import BundleAdmin
from ._messages import About, ErrorReply
from ._proposals import ProposalStore

log = logging.getLogger("fireflyward.admin")

JSON = "application/json"
PACKED = "application/msgpack"
ABOUT_PATH = "/v1/about"
_LARGEST_BODY = 64 << 20
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
        self._desk = bundle_admin
        self._proposals = proposals
        self._judge = authenticator
        self._node_name = node_name
        self._clock = clock

    @web.middleware
    async def identify(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuse every request that no known person signed."""
        if request.path == ABOUT_PATH:
            return await handler(request)
        person = self._judge.judge(
            wall_ms=self._clock.wall_ms(),
            method=request.method,
            target=request.path_qs,
            headers=request.headers,
            body=await request.read(),
            people=self._desk.people(),
        )
        if isinstance(person, ErrorReply):
            log.warning("admin: %s refused, %s", request.path, person.detail)
            return _json(person, 401)
        request[_PERSON] = person
        return await handler(request)

    async def about(self, request: web.Request) -> web.Response:
        return _json(About(self._desk.deployment, self._node_name, self._desk.number()))

    async def check(self, request: web.Request) -> web.Response:
        try:
            text = (await request.read()).decode()
        except UnicodeDecodeError as error:
            return _reply(ErrorReply("unreadable", str(error)))
        return _reply(await self._desk.check(text))

    async def plan(self, request: web.Request) -> web.Response:
        return await self._with_signed(request, self._desk.plan)

    async def submit(self, request: web.Request) -> web.Response:
        async def submit(signed: SignedBundle) -> Any:
            result = await self._desk.submit(signed)
            log.info(
                "admin: bundle %d by %s: %s",
                result.number,
                request[_PERSON],
                result.outcome,
            )
            if result.outcome == "accepted":
                await self._proposals.clear(result.number)
            return result

        return await self._with_signed(request, submit)

    async def current(self, request: web.Request) -> web.Response:
        return _reply(await self._desk.current())

    async def bundle_at(self, request: web.Request) -> web.Response:
        return _reply(await self._desk.bundle_at(int(request.match_info["number"])))

    async def history(self, request: web.Request) -> web.Response:
        return _reply(await self._desk.history())

    async def status(self, request: web.Request) -> web.Response:
        return _reply(await self._desk.status())

    async def propose(self, request: web.Request) -> web.Response:
        return await self._with_signed(request, self._proposals.add)

    async def proposals(self, request: web.Request) -> web.Response:
        return _reply(await self._proposals.all(self._desk.people()))

    async def proposal(self, request: web.Request) -> web.Response:
        return _reply(await self._proposals.get(request.match_info["digest"]))

    async def _with_signed(
        self, request: web.Request, work: Callable[[SignedBundle], Awaitable[Any]]
    ) -> web.Response:
        try:
            signed = decode_signed(await request.read())
        except msgspec.DecodeError as error:
            return _reply(ErrorReply("unreadable", str(error)))
        return _reply(await work(signed))


def build_admin_app(
    bundle_admin: BundleAdmin,
    proposals: ProposalStore,
    *,
    authenticator: RequestAuthenticator,
    node_name: str,
    clock: Clock,
) -> web.Application:
    """Return the application that operators' commands talk to."""
    api = _AdminApi(bundle_admin, proposals, authenticator, node_name, clock)
    app = web.Application(client_max_size=_LARGEST_BODY, middlewares=[api.identify])
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


def _reply(value: Any) -> web.Response:
    if isinstance(value, SignedBundle):
        return web.Response(body=encode_signed(value), content_type=PACKED)
    if isinstance(value, ErrorReply):
        return _json(value, _STATUS_BY_CODE.get(value.code, 409))
    return _json(value)


def _json(value: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type=JSON
    )
