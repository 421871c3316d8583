"""The parts of the node that the HTTP interface uses, and rejections."""

import logging
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import web

from fireflyward.bundles import BundleHolder
from fireflyward.clock import Clock
from fireflyward.connections import SilenceLimits
from fireflyward.http1 import ReadMemory
from fireflyward.kept import BlockNames, PrefixTexts
from fireflyward.leaving import LeavingUpstreams
from fireflyward.limits import AdmissionGate
from fireflyward.observe import Metrics, Tracing
from fireflyward.outcomes import NotRun, Unknown
from fireflyward.rollout import ServingVersions
from fireflyward.routing import Router
from fireflyward.runs import Prepare, RetryBudget, RunIds, RunRecords
from fireflyward.steps import StepObserver, ignore_step
from fireflyward.upstreams import Engine, PlainService

from ._errors import error_bytes, headers_of, status_of
from ._in_flight import InFlightRequests

log = logging.getLogger("fireflyward.entry")

JSON_CONTENT_TYPE = "application/json"


async def _refresh_nothing(model: str, version: str) -> None:
    """Poll no replica; the default for a node without replicas."""


@dataclass(slots=True)
class EntryContext:
    """The parts and settings of the node that the HTTP interface uses."""

    clock: Clock
    holder: BundleHolder
    router: Router
    engine_by_name: dict[str, Engine]
    service_by_name: dict[str, PlainService]
    admission: AdmissionGate
    records: RunRecords
    block_names: BlockNames
    metrics: Metrics
    tracing: Tracing
    request_limit_bytes: int
    memory: ReadMemory
    deadline_ms: int
    is_ready: Callable[[], bool]
    catch_up: Callable[[int], Awaitable[bool]]
    run_ids: RunIds
    observe: StepObserver = ignore_step
    prepare: Prepare | None = None
    prefixes: PrefixTexts | None = None
    on_hint: Callable[[str, int, bool], None] = lambda run_id, blocks, session: None
    silence_limits: SilenceLimits = SilenceLimits()
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    in_flight: InFlightRequests = field(default_factory=InFlightRequests)
    serving_versions: ServingVersions | None = None
    refresh_reports: Callable[[str, str], Awaitable[None]] = _refresh_nothing
    leaving_upstreams: LeavingUpstreams = field(default_factory=LeavingUpstreams)


CONTEXT: web.AppKey[EntryContext] = web.AppKey("parts", EntryContext)
ACCOUNT: web.RequestKey[str] = web.RequestKey("account", str)
REQUEST_ID: web.RequestKey[str] = web.RequestKey("request_id", str)


def new_request_id() -> str:
    """Return a unique id for a request."""
    return uuid.uuid4().hex


def reject(
    request: web.Request, outcome: NotRun | Unknown, request_id: str
) -> web.Response:
    """Return, count and log the response of a request that was not answered."""
    context = request.app[CONTEXT]
    context.metrics.count(
        "requests_total", outcome=outcome.tag, reason=outcome.reason.value
    )
    log.info(
        "entry: %s, %s",
        outcome.tag,
        outcome.reason.value,
        extra={
            "request": request_id,
            "account": request.get(ACCOUNT),
            "bundle": context.holder.number,
        },
    )
    headers = headers_of(
        outcome.tag,
        request_id,
        context.holder.number,
        retry_after_ms=outcome.retry_after_ms,
    )
    return web.Response(
        status=status_of(outcome),
        body=error_bytes(outcome, request_id),
        headers=headers,
        content_type=JSON_CONTENT_TYPE,
    )
