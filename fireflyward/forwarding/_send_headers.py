"""Creates the headers with which a request is sent to a replica."""

from fireflyward.platform import CallerRequest, ReplicaHeaders
from fireflyward.replicas import Choice
from fireflyward.routes import Allowed

from ._exchange import StreamProgress
from ._prompt_requirements import PromptRequirements

_LOWEST_PRIORITY = 9
_LATE_PRIORITY_STEP = 5


def replica_headers(
    now_ms: int,
    caller: CallerRequest,
    allowed: Allowed,
    choice: Choice,
    requirements: PromptRequirements,
    *,
    progress: StreamProgress,
    left_ms: float,
    is_late: bool,
    is_bound: bool,
) -> ReplicaHeaders:
    """Return the headers of one send; late requests come after all others.

    With ``is_bound`` only some replicas can serve the request. It precedes those of its
    priority, which can go to other replicas.
    """
    account = allowed.account
    priority = allowed.priority + (_LATE_PRIORITY_STEP if is_late else 0)
    if is_bound:
        priority = max(0, priority - 1)
    last_event_id = caller.last_event_id
    if progress.last_number is not None:
        last_event_id = str(progress.last_number)
    salt, kv = requirements.plan_kv(now_ms, choice)
    return ReplicaHeaders(
        incarnation=choice.replica.entry.incarnation,
        left_ms=int(left_ms),
        account=account.name if account is not None else None,
        priority=min(priority, _LOWEST_PRIORITY),
        weights=choice.weights,
        cache_salt=salt,
        kv_sources=kv.sources,
        kv_saves=kv.saves,
        stored_tokens=kv.stored_tokens,
        last_event_id=last_event_id,
    )
