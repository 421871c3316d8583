"""The bundle and its structs: the configuration that operators write."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

_DEFAULT_MAX_IN_FLIGHT = 100
ALL = "*"
Sha256 = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
PublicKey = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
Url = Annotated[str, msgspec.Meta(pattern="^https?://[^ ]+$")]
Route = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]+ /[^ ]*$")]
Weight = Annotated[int, msgspec.Meta(ge=1, le=1_000)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9)]
InFlight = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Number = Annotated[int, msgspec.Meta(ge=1)]
Kind = Literal["engine", "service", "store"]


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model: the weight version that new requests use, and its adapters."""

    version: str
    adapters: tuple[str, ...] = ()


class Caller(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller of a client account, identified by the SHA-256 of its key.

    ``models`` limits the caller to some of the account's models; if it is empty,
    the caller may use all of them. ``versions`` maps a model to the weight version
    that serves this caller, in place of the account's version.
    """

    key_sha256: Sha256
    services: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    versions: dict[str, str] = {}


class Account(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account: its models, callers, share and limits.

    ``adapters`` lists the adapters that the account may use, each written as
    ``model:adapter``; None allows every adapter of its models. ``versions``
    overrides the models' weight versions.
    """

    models: tuple[str, ...]
    callers: dict[str, Caller]
    weight: Weight = 1
    priority: Priority = 5
    max_in_flight: InFlight = _DEFAULT_MAX_IN_FLIGHT
    share_prefixes: bool = True
    adapters: tuple[str, ...] | None = None
    versions: dict[str, str] = {}


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service, with the routes whose calls are non-idempotent.

    A route is written as ``METHOD /path``; a trailing ``*`` matches any ending.
    """

    non_idempotent: tuple[Route, ...] = ()


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A replica of a model engine, a plain service, or a store of kept KV blocks.

    ``versions`` maps a model to the weight version that this replica serves, in
    place of the model's version.
    """

    kind: Kind
    url: Url
    failure_domain: str
    models: tuple[str, ...] = ()
    service: str = ""
    honours_fencing: bool = False
    versions: dict[str, str] = {}


class Person(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A person who signs bundles, with public keys and the scopes of their roles.

    During a key rotation ``keys`` holds both the old and the new key. A signature made
    with a key in ``revoked`` is rejected as revoked, not as unknown. A scope is ``*``,
    ``trust``, or ``account:…``, ``model:…``, ``service:…``, ``upstream:…`` with ``*``
    wildcards.
    """

    keys: tuple[PublicKey, ...] = ()
    revoked: tuple[PublicKey, ...] = ()
    may_author: tuple[str, ...] = ()
    may_approve: tuple[str, ...] = ()


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete configuration of a deployment, under one number.

    ``number`` is the number under which the author expects the bundle to be accepted; a
    bundle with any number other than the number in force plus one is not accepted.
    Without ``trust``, the people of the settings' trust roots sign the bundles.
    """

    deployment: str
    number: Number
    models: dict[str, Model]
    accounts: Mapping[str, Account]
    upstreams: dict[str, Upstream]
    services: dict[str, Service] = {}
    trust: dict[str, Person] = {}

    def version_for(self, account: Account, caller_name: str, model: str) -> str:
        """Return the weight version that serves this caller's new requests."""
        caller = account.callers.get(caller_name)
        pinned = caller.versions.get(model) if caller else None
        return pinned or account.versions.get(model) or self.models[model].version

    def version_on(self, upstream_name: str, model: str) -> str:
        """Return the weight version of a model that an upstream must serve."""
        pinned = self.upstreams[upstream_name].versions.get(model)
        return pinned or self.models[model].version

    def models_of(self, account: Account, caller_name: str) -> tuple[str, ...]:
        """Return the models that a caller may use."""
        caller = account.callers.get(caller_name)
        if caller is None or not caller.models:
            return account.models
        return tuple(name for name in account.models if name in caller.models)

    def adapters_of(self, account: Account, model: str) -> tuple[str, ...]:
        """Return the adapters of a model that an account may use."""
        served = self.models[model].adapters
        if account.adapters is None:
            return served
        return tuple(name for name in served if f"{model}:{name}" in account.adapters)


@dataclass(frozen=True, slots=True)
class BundleError:
    """Why a bundle is rejected: the field, its value and the allowed values.

    ``code`` is a stable identifier for programs, such as ``revoked_key``.
    """

    field: str
    detail: str
    line: int = 0
    value: str = ""
    allowed: str = ""
    code: str = "invalid"

    def __str__(self) -> str:
        where = f"line {self.line}, " if self.line else ""
        value = f" {self.value}" if self.value else ""
        allowed = f"; allowed: {self.allowed}" if self.allowed else ""
        return f"{where}{self.field}:{value} {self.detail}{allowed}"
