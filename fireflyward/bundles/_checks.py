"""Checks between the parts of a bundle, and against the weight store."""

import re
from collections.abc import Iterator, Mapping

from ._bundle import ALL, Account, Bundle, BundleError, Person

_SCOPE = re.compile(r"^(\*|trust|(account|model|service|upstream):\S+)$")
_SCOPE_ALLOWED = "*, trust, or account:, model:, service: or upstream: and a pattern"


def cross_errors(bundle: Bundle) -> Iterator[BundleError]:
    """Yield every reference that leads nowhere and every contradiction."""
    yield from _account_errors(bundle)
    yield from _upstream_errors(bundle)
    yield from _route_errors(bundle)
    yield from _key_errors(bundle)
    yield from _trust_errors(bundle.trust)


def weight_errors(
    bundle: Bundle, versions_by_model: Mapping[str, tuple[str, ...]]
) -> Iterator[BundleError]:
    """Yield every weight version that the weight store does not hold."""
    for field, model, version in _versions(bundle):
        held = versions_by_model.get(model, ())
        if version not in held:
            allowed = ", ".join(held) or "none is held"
            yield BundleError(
                field, "is not in the weight store", 0, repr(version), allowed
            )


def _versions(bundle: Bundle) -> Iterator[tuple[str, str, str]]:
    for name, model in bundle.models.items():
        yield f"models.{name}.version", name, model.version
    for name, upstream in bundle.upstreams.items():
        for model, version in upstream.versions.items():
            yield f"upstreams.{name}.versions.{model}", model, version
    for name, account in bundle.accounts.items():
        for model, version in account.versions.items():
            yield f"accounts.{name}.versions.{model}", model, version


def _account_errors(bundle: Bundle) -> Iterator[BundleError]:
    for name, account in bundle.accounts.items():
        field = f"accounts.{name}"
        if not account.callers:
            yield BundleError(f"{field}.callers", "has no caller")
        if not account.models and not _has_service(account):
            yield BundleError(f"{field}.models", "has no model and no service")
        yield from _unknown(f"{field}.models", account.models, bundle.models, "model")
        yield from _adapter_errors(bundle, field, account)
        yield from _pin_errors(bundle, field, account.models, account.versions)
        for caller_name, caller in account.callers.items():
            inner = f"{field}.callers.{caller_name}"
            yield from _unknown(
                f"{inner}.services", caller.services, bundle.services, "service"
            )
            yield from _unknown(
                f"{inner}.models", caller.models, account.models, "model of the account"
            )
            models = caller.models or account.models
            yield from _pin_errors(bundle, inner, models, caller.versions)


def _has_service(account: Account) -> bool:
    return any(caller.services for caller in account.callers.values())


def _adapter_errors(
    bundle: Bundle, field: str, account: Account
) -> Iterator[BundleError]:
    known = [
        f"{model}:{adapter}"
        for model in account.models
        if model in bundle.models
        for adapter in bundle.models[model].adapters
    ]
    adapters = account.adapters or ()
    yield from _unknown(f"{field}.adapters", adapters, known, "adapter")


def _pin_errors(
    bundle: Bundle,
    field: str,
    models: tuple[str, ...],
    version_by_model: Mapping[str, str],
) -> Iterator[BundleError]:
    yield from _unknown(f"{field}.versions", version_by_model, models, "model")
    for model, version in version_by_model.items():
        held = {
            bundle.version_on(name, model)
            for name, upstream in bundle.upstreams.items()
            if model in upstream.models and model in bundle.models
        }
        if version not in held:
            yield BundleError(
                f"{field}.versions.{model}",
                "is the version of no upstream",
                0,
                repr(version),
                ", ".join(sorted(held)) or "none",
            )


def _upstream_errors(bundle: Bundle) -> Iterator[BundleError]:
    name_by_url: dict[str, str] = {}
    for name, upstream in bundle.upstreams.items():
        field = f"upstreams.{name}"
        yield from _unknown(f"{field}.models", upstream.models, bundle.models, "model")
        yield from _unknown(
            f"{field}.versions", upstream.versions, upstream.models, "model"
        )
        if upstream.kind == "engine" and not upstream.models:
            yield BundleError(f"{field}.models", "an engine needs a model")
        if upstream.kind == "service":
            services = (upstream.service,)
            yield from _unknown(
                f"{field}.service", services, bundle.services, "service"
            )
        elif upstream.service:
            yield BundleError(f"{field}.service", "only a service upstream has one")
        other = name_by_url.setdefault(upstream.url, name)
        if other != name:
            yield BundleError(f"{field}.url", f"is that of {other!r} too")


def _route_errors(bundle: Bundle) -> Iterator[BundleError]:
    """Refuse models and services that callers may name but nothing serves."""
    upstreams = bundle.upstreams.values()
    served_models = {model for upstream in upstreams for model in upstream.models}
    served_services = {upstream.service for upstream in upstreams}
    for name in bundle.models:
        if name not in served_models:
            yield BundleError(f"models.{name}", "is served by no upstream")
    for name in bundle.services:
        if name not in served_services:
            yield BundleError(f"services.{name}", "is served by no upstream")


def _key_errors(bundle: Bundle) -> Iterator[BundleError]:
    """Refuse one key for two callers: it would open both accounts to either."""
    owner_by_key: dict[str, str] = {}
    for name, account in bundle.accounts.items():
        for caller_name, caller in account.callers.items():
            owner = f"accounts.{name}.callers.{caller_name}"
            other = owner_by_key.setdefault(caller.key_sha256, owner)
            if other != owner:
                yield BundleError(f"{owner}.key_sha256", f"is the key of {other} too")


def _trust_errors(trust: Mapping[str, Person]) -> Iterator[BundleError]:
    owner_by_key: dict[str, str] = {}
    for name, person in trust.items():
        field = f"trust.{name}"
        for scope in (*person.may_author, *person.may_approve):
            if not _SCOPE.match(scope):
                yield BundleError(
                    field, "is not a scope", 0, repr(scope), _SCOPE_ALLOWED
                )
        for key in person.keys:
            if key in person.revoked:
                yield BundleError(f"{field}.keys", "is revoked too", 0, repr(key))
            other = owner_by_key.setdefault(key, name)
            if other != name:
                yield BundleError(f"{field}.keys", f"is the key of {other!r} too")
    if trust and not _can_change_trust(trust):
        detail = "nobody would be left to author and another to approve trust"
        yield BundleError("trust", detail)


def _can_change_trust(trust: Mapping[str, Person]) -> bool:
    def able(scopes: tuple[str, ...]) -> bool:
        return ALL in scopes or "trust" in scopes

    authors = {
        n for n, person in trust.items() if person.keys and able(person.may_author)
    }
    approvers = {
        n for n, person in trust.items() if person.keys and able(person.may_approve)
    }
    return bool(authors) and bool(approvers) and len(authors | approvers) > 1


def _unknown(
    field: str, names: Mapping[str, str] | tuple[str, ...], known: object, noun: str
) -> Iterator[BundleError]:
    for name in names:
        if name not in known:
            allowed = ", ".join(sorted(known)[:20]) or "none"
            yield BundleError(field, f"is no known {noun}", 0, repr(name), allowed)
