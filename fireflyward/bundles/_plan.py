"""The effects of a new bundle, in plain sentences for operators."""

import math
from collections import Counter
from collections.abc import Iterator

import msgspec

from ._bundle import Account, Bundle, Upstream
from ._diff import Difference, diff

LOAD_TIME_S = 1.2
MAX_CONCURRENT_LOADS = 2
_MAX_NAMES_SHOWN = 8


class Plan(msgspec.Struct, frozen=True):
    """Sentences about what changes, and separate sentences about the dangers.

    ``loads`` counts the weights and adapters that replicas have to load, and
    ``load_seconds`` is the shortest time for that with two loads at a time.
    """

    number: int
    sentences: tuple[str, ...]
    dangers: tuple[str, ...]
    loads: int
    load_seconds: float


def make_plan(old: Bundle | None, new: Bundle) -> Plan:
    """Return what changes when ``new`` replaces the bundle in force, ``old``."""
    before = old or Bundle(new.deployment, 0, {}, {}, {})
    differences = diff(old, new)
    load_by_replica = _loads_by_replica(before, new)
    loads = sum(load_by_replica.values())
    seconds = round(math.ceil(loads / MAX_CONCURRENT_LOADS) * LOAD_TIME_S, 1)
    sentences = [
        *_account_sentences(before, new),
        *_model_sentences(before, new, load_by_replica),
        *_other_sentences(differences),
    ]
    if loads:
        sentences.append(_load_sentence(loads, load_by_replica, seconds))
    if not differences:
        sentences.append("Nothing changes but the number.")
    dangers = tuple(_dangers(before, new))
    return Plan(new.number, tuple(sentences), dangers, loads, seconds)


def _account_sentences(old: Bundle, new: Bundle) -> Iterator[str]:
    added, removed, changed = [], [], []
    for name, account in new.accounts.items():
        before = old.accounts.get(name)
        if before is None:
            added.append(name)
        elif before != account:
            changed.append((name, before, account))
    removed = [name for name in old.accounts if name not in new.accounts]
    if added:
        yield f"{_count_names(added, 'account')} will be served: {_join_names(added)}."
    if removed:
        count = _count_names(removed, "account")
        yield f"{count} will no longer be served: {_join_names(removed)}."
    for name, before, account in changed[:_MAX_NAMES_SHOWN]:
        yield from _one_account(name, before, account)
    if len(changed) > _MAX_NAMES_SHOWN:
        yield (
            f"{len(changed) - _MAX_NAMES_SHOWN} more accounts change; the diff lists "
            f"them."
        )


def _one_account(name: str, old: Account, new: Account) -> Iterator[str]:
    gained = sorted(set(new.models) - set(old.models))
    lost = sorted(set(old.models) - set(new.models))
    if gained:
        yield f"Account {name} gets {_join_names(gained)}."
    if lost:
        yield f"Account {name} loses {_join_names(lost)}."
    if old.callers.keys() != new.callers.keys():
        added = sorted(new.callers.keys() - old.callers.keys())
        removed = sorted(old.callers.keys() - new.callers.keys())
        yield (
            f"Account {name}: callers added: {_join_names(added)}; "
            f"removed: {_join_names(removed)}."
        )
    for field in ("weight", "priority", "max_in_flight", "share_prefixes"):
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield f"Account {name}: {field} goes from {before} to {after}."
    for field in ("versions", "adapters"):
        if getattr(old, field) != getattr(new, field):
            yield f"Account {name}: its {field} change."
    for caller_name in sorted(old.callers.keys() & new.callers.keys()):
        if old.callers[caller_name] != new.callers[caller_name]:
            yield f"Account {name}: caller {caller_name} changes."


def _model_sentences(
    old: Bundle, new: Bundle, load_by_replica: Counter[str]
) -> Iterator[str]:
    for name, model in new.models.items():
        before = old.models.get(name)
        users = sum(name in account.models for _, account in new.accounts.items())
        if before is None:
            yield f"Model {name} is new at {model.version}, for {_count_of(users)}."
        elif before.version != model.version:
            replicas = sum(
                name in upstream.models and upstream_name in load_by_replica
                for upstream_name, upstream in new.upstreams.items()
            )
            yield (
                f"Model {name} goes from {before.version} to {model.version} for new "
                f"requests of {_count_of(users)}; {_count_of(replicas, 'replica')} to "
                f"reload. KV blocks kept from {before.version} are not used for them."
            )
    for name in old.models.keys() - new.models.keys():
        yield f"Model {name} is no longer served."


def _other_sentences(differences: tuple[Difference, ...]) -> Iterator[str]:
    for item in differences:
        noun = item.entity.partition(":")[0]
        if noun in ("service", "upstream", "trust"):
            yield f"{item}."


def _loads_by_replica(old: Bundle, new: Bundle) -> Counter[str]:
    """Count the weights and adapters that each replica has to load."""
    load_by_replica: Counter[str] = Counter()
    for name, upstream in new.upstreams.items():
        if upstream.kind != "engine":
            continue
        for model in upstream.models:
            load_by_replica[name] += _count_loads(old, new, name, model)
    return +load_by_replica


def _count_loads(old: Bundle, new: Bundle, name: str, model: str) -> int:
    before = old.upstreams.get(name)
    is_loaded = before is not None and model in before.models and model in old.models
    adapters = set(new.models[model].adapters)
    if not is_loaded or old.version_on(name, model) != new.version_on(name, model):
        return 1 + len(adapters)
    return len(adapters - set(old.models[model].adapters))


def _load_sentence(loads: int, load_by_replica: Counter[str], seconds: float) -> str:
    return (
        f"{_count_of(loads, 'load')} on {_count_of(len(load_by_replica), 'replica')}; "
        f"with {MAX_CONCURRENT_LOADS} at a time and {LOAD_TIME_S} s each this takes "
        f"at least {seconds} s, in addition to the draining. More loads at a time "
        f"would make each load slower."
    )


def _dangers(old: Bundle, new: Bundle) -> Iterator[str]:
    yield from _account_dangers(old, new)
    yield from _upstream_dangers(old, new)
    for name, service in old.services.items():
        new_routes = new.services[name].non_idempotent if name in new.services else ()
        for route in service.non_idempotent:
            if name in new.services and route not in new_routes:
                yield f"Calls of {name} {route} may be repeated from now on."
    for name, person in old.trust.items():
        if person.keys and not (name in new.trust and new.trust[name].keys):
            yield f"{name} can no longer sign."
    for name, person in new.trust.items():
        before = old.trust.get(name)
        if old.number and (before is None or before.may_approve != person.may_approve):
            scopes = ", ".join(person.may_approve) or "nothing"
            yield f"{name} may now approve: {scopes}."


def _account_dangers(old: Bundle, new: Bundle) -> Iterator[str]:
    for name, before in old.accounts.items():
        account = new.accounts.get(name)
        if account is None:
            yield f"Account {name} loses its last model: every request is refused."
            continue
        if before.models and not account.models:
            yield f"Account {name} loses its last model."
        for caller_name, caller in before.callers.items():
            new_caller = account.callers.get(caller_name)
            if new_caller is None or new_caller.key_sha256 != caller.key_sha256:
                yield f"The key of caller {caller_name} of {name} stops working."
        if account.max_in_flight < before.max_in_flight:
            yield (
                f"Account {name} may have only {account.max_in_flight} requests in "
                f"flight, instead of {before.max_in_flight}."
            )
        if account.share_prefixes and not before.share_prefixes:
            yield f"Account {name} shares its prefixes from now on."


def _upstream_dangers(old: Bundle, new: Bundle) -> Iterator[str]:
    for model in new.models.keys() & old.models.keys():
        domains_before, domains_after = _domains(old, model), _domains(new, model)
        for domain in sorted(domains_before - domains_after):
            yield f"Model {model} has no replica left in {domain}."
        if len(domains_after) == 1 and len(domains_before) > 1:
            yield f"Model {model} is left in one failure domain only."
    for name, before in old.upstreams.items():
        upstream = new.upstreams.get(name)
        if upstream and upstream.honours_fencing and not before.honours_fencing:
            yield (
                f"Upstream {name} is trusted to refuse old orders from now on; if it "
                f"does not, a paused node's order can undo a newer one."
            )
        if upstream and upstream.url != before.url:
            yield f"Upstream {name} moves to {upstream.url}; its runs are not resumed."


def _domains(bundle: Bundle, model: str) -> set[str]:
    def serves(upstream: Upstream) -> bool:
        return model in upstream.models

    upstreams = filter(serves, bundle.upstreams.values())
    return {upstream.failure_domain for upstream in upstreams}


def _count_names(names: list[str], noun: str) -> str:
    return _count_of(len(names), noun)


def _count_of(count: int, noun: str = "account") -> str:
    return f"1 {noun}" if count == 1 else f"{count} {noun}s"


def _join_names(names: list[str]) -> str:
    shown = ", ".join(names[:_MAX_NAMES_SHOWN]) or "none"
    more = len(names) - _MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown
