"""The bundle itself: what operators write, checked."""

import hashlib
import tomllib
from dataclasses import dataclass

import msgspec

_FULL_SHARE = 100


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model: the weight version that new requests use, and its adapters."""

    version: str
    adapters: tuple[str, ...] = ()


class Caller(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller of a client account, known by the SHA-256 of its key."""

    key_sha256: str
    services: tuple[str, ...] = ()


class Account(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account: its models, callers, share and limits."""

    models: tuple[str, ...]
    callers: dict[str, Caller]
    weight: int = 1
    priority: int = 5
    max_in_flight: int = _FULL_SHARE
    share_prefixes: bool = True


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service and those of its routes whose calls may not be repeated.

    A route is ``METHOD /path``; a trailing ``*`` matches any ending.
    """

    non_idempotent: tuple[str, ...] = ()


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A replica of a model engine, a plain service, or a store of kept work."""

    kind: str
    url: str
    failure_domain: str
    models: tuple[str, ...] = ()
    service: str = ""
    honours_fencing: bool = False


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One numbered statement of everything that operators decide.

    ``number`` is what the author expects to become; acceptance refuses any other
    than the number in force plus one.
    """

    deployment: str
    number: int
    models: dict[str, Model]
    accounts: dict[str, Account]
    upstreams: dict[str, Upstream]
    services: dict[str, Service] = {}
    trust: dict[str, str] = {}

    def account_of_key(self, key: str) -> tuple[str, str] | None:
        """Return the account's and the caller's names for a caller's key."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        for account_name, account in self.accounts.items():
            for caller_name, caller in account.callers.items():
                if caller.key_sha256 == digest:
                    return account_name, caller_name
        return None


@dataclass(frozen=True, slots=True)
class BundleError:
    """Why a bundle is refused: where, what was given and what is allowed."""

    field: str
    detail: str
    line: int = 0

    def __str__(self) -> str:
        where = f"line {self.line}, " if self.line else ""
        return f"{where}{self.field}: {self.detail}"


def parse_bundle(text: str) -> Bundle | tuple[BundleError, ...]:
    """Read a bundle from TOML, checking types and references between its parts."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return (BundleError("file", str(error)),)
    try:
        bundle = msgspec.convert(table, type=Bundle)
    except msgspec.ValidationError as error:
        return (BundleError("bundle", str(error)),)
    errors = tuple(_cross_errors(bundle))
    return errors or bundle


def _cross_errors(bundle: Bundle) -> list[BundleError]:
    errors = []
    for name, account in bundle.accounts.items():
        if not account.models and not any(
            caller.services for caller in account.callers.values()
        ):
            errors.append(
                BundleError(f"accounts.{name}.models", "no model and no service")
            )
        for model in account.models:
            if model not in bundle.models:
                errors.append(
                    BundleError(f"accounts.{name}.models", f"unknown model {model!r}")
                )
    for name, upstream in bundle.upstreams.items():
        for model in upstream.models:
            if model not in bundle.models:
                errors.append(
                    BundleError(f"upstreams.{name}.models", f"unknown model {model!r}")
                )
        if upstream.service and upstream.service not in bundle.services:
            errors.append(
                BundleError(
                    f"upstreams.{name}.service", f"unknown service {upstream.service!r}"
                )
            )
    return errors
