"""The bundle itself: what operators write."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

_FULL_SHARE = 100
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
    """A caller of a client account, known by the SHA-256 of its key.

    ``models`` narrows the account's models for this caller; empty leaves all.
    ``versions`` gives this caller a weight version of its own by model.
    """

    key_sha256: Sha256
    services: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    versions: dict[str, str] = {}


class Account(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account: its models, callers, share and limits.

    ``adapters`` names what it may use as ``model:adapter``; without it every
    adapter of its models. ``versions`` overrides the model's version.
    """

    models: tuple[str, ...]
    callers: dict[str, Caller]
    weight: Weight = 1
    priority: Priority = 5
    max_in_flight: InFlight = _FULL_SHARE
    share_prefixes: bool = True
    adapters: tuple[str, ...] | None = None
    versions: dict[str, str] = {}


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service and those of its routes whose calls may not be repeated.

    A route is ``METHOD /path``; a trailing ``*`` matches any ending.
    """

    non_idempotent: tuple[Route, ...] = ()


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A replica of a model engine, a plain service, or a store of kept work.

    ``versions`` gives this replica a weight version of its own by model.
    """

    kind: Kind
    url: Url
    failure_domain: str
    models: tuple[str, ...] = ()
    service: str = ""
    honours_fencing: bool = False
    versions: dict[str, str] = {}


class Person(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Someone who signs: public keys, and what each signature may change.

    Two keys stand side by side while one replaces the other. A key in
    ``revoked`` is refused by that name. A scope is ``*``, ``trust``, or
    ``account:…``, ``model:…``, ``service:…``, ``upstream:…`` with ``*`` wildcards.
    """

    keys: tuple[PublicKey, ...] = ()
    revoked: tuple[PublicKey, ...] = ()
    may_author: tuple[str, ...] = ()
    may_approve: tuple[str, ...] = ()


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One numbered statement of everything that operators decide.

    ``number`` is what the author expects to become; acceptance refuses any other
    than the number in force plus one. Without ``trust`` the roots of the settings
    go on signing.
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
        """Return the weight version that an upstream is to hold of a model."""
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
    """Why a bundle is refused: where, what was given and what is allowed.

    ``code`` is a fixed word for programs, such as ``revoked_key``.
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
