"""Checks of the references within a bundle, and against the weight store."""

import re
from collections.abc import Iterator, Mapping

from ._bundle import ALL, Account, Bundle, BundleError, Person

_SCOPE = re.compile(r"^(\*|trust|(account|model|service|upstream):\S+)$")
_SCOPE_ALLOWED = "*, trust, or account:, model:, service: or upstream: and a pattern"


def cross_errors(bundle: Bundle) -> Iterator[BundleError]:
    """Yield an error for every dangling reference and every contradiction."""
    yield from _account_errors(bundle)
    yield from _upstream_errors(bundle)
    yield from _unserved_errors(bundle)
    yield from _key_errors(bundle)
    yield from _trust_errors(bundle.trust)


def weight_errors(
    bundle: Bundle, versions_by_model: Mapping[str, tuple[str, ...]]
) -> Iterator[BundleError]:
    """Yield an error for every weight version that the weight store lacks."""
    for field, model, version in _versions(bundle):
        available = versions_by_model.get(model, ())
        if version not in available:
            allowed = ", ".join(available) or "none"
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
        yield from _unknown_names(
            f"{field}.models", account.models, bundle.models, "model"
        )
        yield from _adapter_errors(bundle, field, account)
        yield from _pin_errors(bundle, field, account.models, account.versions)
        for caller_name, caller in account.callers.items():
            inner = f"{field}.callers.{caller_name}"
            yield from _unknown_names(
                f"{inner}.services", caller.services, bundle.services, "service"
            )
            yield from _unknown_names(
                f"{inner}.models", caller.models, account.models, "model of the account"
            )
            models = caller.models or account.models
            yield from _pin_errors(bundle, inner, models, caller.versions)


def _has_service(account: Account) -> bool:
    return any(caller.services for caller in account.callers.values())


def _adapter_errors(
    bundle: Bundle, field: str, account: Account
) -> Iterator[BundleError]:
    available = [
        f"{model}:{adapter}"
        for model in account.models
        if model in bundle.models
        for adapter in bundle.models[model].adapters
    ]
    adapters = account.adapters or ()
    yield from _unknown_names(f"{field}.adapters", adapters, available, "adapter")


def _pin_errors(
    bundle: Bundle,
    field: str,
    models: tuple[str, ...],
    version_by_model: Mapping[str, str],
) -> Iterator[BundleError]:
    yield from _unknown_names(f"{field}.versions", version_by_model, models, "model")
    for model, version in version_by_model.items():
        served = {
            bundle.version_on(name, model)
            for name, upstream in bundle.upstreams.items()
            if model in upstream.models and model in bundle.models
        }
        if version not in served:
            yield BundleError(
                f"{field}.versions.{model}",
                "is served by no upstream",
                0,
                repr(version),
                ", ".join(sorted(served)) or "none",
            )


def _upstream_errors(bundle: Bundle) -> Iterator[BundleError]:
    name_by_url: dict[str, str] = {}
    for name, upstream in bundle.upstreams.items():
        field = f"upstreams.{name}"
        yield from _unknown_names(
            f"{field}.models", upstream.models, bundle.models, "model"
        )
        yield from _unknown_names(
            f"{field}.versions", upstream.versions, upstream.models, "model"
        )
        if upstream.kind == "engine" and not upstream.models:
            yield BundleError(f"{field}.models", "an engine needs a model")
        if upstream.kind == "service":
            services = (upstream.service,)
            yield from _unknown_names(
                f"{field}.service", services, bundle.services, "service"
            )
        elif upstream.service:
            yield BundleError(
                f"{field}.service", "is allowed only for a service upstream"
            )
        other = name_by_url.setdefault(upstream.url, name)
        if other != name:
            yield BundleError(f"{field}.url", f"is also the URL of {other!r}")


def _unserved_errors(bundle: Bundle) -> Iterator[BundleError]:
    """Yield an error for every model and service that no upstream serves."""
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
    """Yield an error for every key that two callers share.

    With a shared key, each of the two callers could use the other's account.
    """
    owner_by_key: dict[str, str] = {}
    for name, account in bundle.accounts.items():
        for caller_name, caller in account.callers.items():
            owner = f"accounts.{name}.callers.{caller_name}"
            other = owner_by_key.setdefault(caller.key_sha256, owner)
            if other != owner:
                yield BundleError(f"{owner}.key_sha256", f"is also the key of {other}")


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
                yield BundleError(
                    f"{field}.keys", "is also listed as revoked", 0, repr(key)
                )
            other = owner_by_key.setdefault(key, name)
            if other != name:
                yield BundleError(f"{field}.keys", f"is also the key of {other!r}")
    if trust and not _can_change_trust(trust):
        detail = "nobody could author a change of trust that another person may approve"
        yield BundleError("trust", detail)


def _can_change_trust(trust: Mapping[str, Person]) -> bool:
    def may_change_trust(scopes: tuple[str, ...]) -> bool:
        return ALL in scopes or "trust" in scopes

    authors = {
        name
        for name, person in trust.items()
        if person.keys and may_change_trust(person.may_author)
    }
    approvers = {
        name
        for name, person in trust.items()
        if person.keys and may_change_trust(person.may_approve)
    }
    return bool(authors) and bool(approvers) and len(authors | approvers) > 1


def _unknown_names(
    field: str, names: Mapping[str, str] | tuple[str, ...], available: object, noun: str
) -> Iterator[BundleError]:
    for name in names:
        if name not in available:
            allowed = ", ".join(sorted(available)[:20]) or "none"
            yield BundleError(field, f"is not a known {noun}", 0, repr(name), allowed)
