"""Measures bytes and processor time of the state of each role at several sizes."""

from fireflyward.clock import Clock
from fireflyward.limits import AdmissionRequest
from fireflyward.limits._admission import Admission
from fireflyward.membership import Member, Members
from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.routing._affinity import PrefixRecord
from fireflyward.upstreams import LoadReport

from ._slopes import Slope, allocated_bytes, call_duration_us, fit

_REPLICAS = (30, 120, 400, 1_200)
_NODES = (9, 35, 100, 350)
_ACCOUNTS = (10, 200, 1_000, 4_000)
_DOMAINS = 10
_MODELS = 17
_ROUNDS = 300


def router_bytes() -> Slope:
    """Return the bytes of a router by the number of its replicas."""
    return fit(_REPLICAS, lambda count: allocated_bytes(lambda: _router(int(count))))


def choice_us() -> Slope:
    """Return the microseconds of one choice by the number of replicas of a model."""
    return fit(_REPLICAS, _choice_us)


def members_bytes() -> Slope:
    """Return the bytes of the member list by the number of its nodes."""
    return fit(_NODES, lambda count: allocated_bytes(lambda: _members(int(count))))


def admission_bytes() -> Slope:
    """Return the bytes of admission by the number of accounts with a request."""
    return fit(_ACCOUNTS, lambda count: allocated_bytes(lambda: _admission(int(count))))


def prefix_record_bytes() -> float:
    """Return the bytes of the router's prefix record when it is full."""
    return allocated_bytes(_full_record)


def _router(replicas: int, *, models: int = _MODELS) -> Router:
    router = Router("domain-0", seed=1)
    candidates = []
    for index in range(replicas):
        model = f"model-{index % models}"
        candidates.append(
            Candidate(f"engine-{index}", f"domain-{index % _DOMAINS}", (model,))
        )
    router.set_replicas(candidates)
    for index in range(replicas):
        version_by_model = {f"model-{index % models}": "v1"}
        report = LoadReport(index % 7, 3, 900, 4_000, version_by_model, False, "e1", 40)
        router.on_report(1_000, f"engine-{index}", report)
    return router


def _choice_us(replicas: float) -> float:
    router = _router(int(replicas), models=1)
    keys = tuple(f"{number:032x}" for number in range(32))
    shape = RunShape("account", "model-0", "v1", 2_048, keys, "run")
    return call_duration_us(lambda: router.choose(1_050, shape), rounds=_ROUNDS)


def _members(nodes: int) -> Members:
    members = Members(_member(0))
    for index in range(nodes):
        members.put(_member(index))
    return members


def _member(index: int) -> Member:
    return Member(
        f"entry-{index}", ("127.0.0.1", index), f"domain-{index % _DOMAINS}", "r", 1
    )


def _admission(accounts: int) -> Admission:
    admission = Admission()
    deadline_ms = Clock().now_ms() + 60_000
    for index in range(accounts):
        model = f"model-{index % _MODELS}"
        admission.enter(
            0, AdmissionRequest(f"account-{index}", model, 100.0, 9, deadline_ms)
        )
    return admission


def _full_record() -> PrefixRecord:
    """Return a record with the maximum number of entries."""
    record = PrefixRecord()
    highest = index = 0
    while len(record) >= highest:
        highest = len(record)
        for _ in range(1_000):
            record.add(f"engine-{index % 120}", (f"{index:032x}",))
            index += 1
    record = PrefixRecord()
    for number in range(index - 1_000):
        record.add(f"engine-{number % 120}", (f"{number:032x}",))
    return record
