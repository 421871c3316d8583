"""Measures the bytes that a node reads per bundle change, by number of accounts."""

import hashlib

from fireflyward.bench import Bench, Figure
from fireflyward.bundles import (
    Account,
    Bundle,
    BundleState,
    Caller,
    Model,
    SigningKey,
    Upstream,
    encode_signed,
    root_people,
    sign_bundle,
    verify_change,
    verify_snapshot,
)

DEPLOYMENT = "bench"
_SECONDS_PER_DAY = 86_400
_CHANGES_PER_DAY = 1_200
_MODELS = tuple(f"model-{index}" for index in range(17))
_REPLICAS = 1_200
AUTHOR = SigningKey.from_seed("ana", b"a" * 32)
APPROVER = SigningKey.from_seed("bruno", b"b" * 32)
ROOTS = root_people({key.person: key.public_bytes() for key in (AUTHOR, APPROVER)})


def make_bundle(accounts: int, number: int = 1, weight_of_first: int = 1) -> Bundle:
    """Return a bundle of this many accounts with one caller each."""
    account_by_name = {
        f"account-{index:05d}": _make_account(index, 1) for index in range(accounts)
    }
    account_by_name["account-00000"] = _make_account(0, weight_of_first)
    upstreams = {
        f"engine-{index:04d}": Upstream(
            "engine",
            f"http://10.0.{index // 250}.{index % 250}:8000",
            f"domain-{index % 10}",
            (_MODELS[index % len(_MODELS)],),
        )
        for index in range(min(_REPLICAS, accounts))
    }
    models = {name: Model("v1") for name in _MODELS}
    return Bundle(DEPLOYMENT, number, models, account_by_name, upstreams)


def _make_account(index: int, weight: int) -> Account:
    key_sha256 = hashlib.sha256(f"key-{index}".encode()).hexdigest()
    models = (_MODELS[index % len(_MODELS)],)
    return Account(models, {"portal": Caller(key_sha256)}, weight)


def first_state(accounts: int) -> BundleState:
    """Return the verified first bundle of this many accounts."""
    signed = sign_bundle(make_bundle(accounts), author=AUTHOR, approver=APPROVER)
    state = verify_snapshot(signed, (), roots=ROOTS, deployment=DEPLOYMENT)
    assert isinstance(state, BundleState), state
    return state


def _run() -> list[Figure]:
    figures = []
    for accounts in (100, 1_000, 5_000, 19_000):
        figures += _figures_of(accounts)
    return figures


def _figures_of(accounts: int) -> list[Figure]:
    base = first_state(accounts)
    following = make_bundle(accounts, 2, weight_of_first=7)
    signed = sign_bundle(following, author=AUTHOR, approver=APPROVER, base=base)
    state = verify_change(signed, base, deployment=DEPLOYMENT)
    assert isinstance(state, BundleState), state
    change_bytes = len(encode_signed(signed))
    snapshot_bytes = len(encode_signed(state.snapshot()))
    per_second = change_bytes * _CHANGES_PER_DAY / _SECONDS_PER_DAY
    prefix = f"bundle_bytes.accounts_{accounts}"
    return [
        Figure(f"{prefix}.change", change_bytes, "B"),
        Figure(f"{prefix}.whole", snapshot_bytes, "B"),
        Figure(f"{prefix}.changes_per_node_s", per_second, "B/s"),
    ]


BENCH = Bench("bundle_bytes", _run, is_count=True)
