"""Small bundles, keys and states that several tests share."""

import hashlib

from fireflyward.bundles import (
    Account,
    Bundle,
    BundleState,
    Caller,
    Model,
    Person,
    Service,
    SigningKey,
    Upstream,
    public_hex,
    root_people,
    sign_bundle,
    verify_change,
    verify_snapshot,
)

DEPLOYMENT = "demo"
ANA = SigningKey.from_seed("ana", b"1" * 32)
BRUNO = SigningKey.from_seed("bruno", b"2" * 32)
CARLA = SigningKey.from_seed("carla", b"3" * 32)
ROOTS = root_people({key.person: key.public_bytes() for key in (ANA, BRUNO)})


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def person(*keys, author=(), approve=(), revoked=()):
    return Person(
        tuple(public_hex(key) for key in keys),
        tuple(public_hex(key) for key in revoked),
        author,
        approve,
    )


TRUST = {
    "ana": person(ANA, author=("*",), approve=("*",)),
    "bruno": person(BRUNO, author=("*",), approve=("*",)),
    "carla": person(CARLA, author=("account:tower-*",), approve=("account:tower-*",)),
}


def account(name, models=("clauses",), **options):
    callers = {"portal": Caller(sha256(f"key-{name}"), ("drafting",))}
    return Account(models, callers, **options)


def bundle(number=1, accounts=("bridge-team", "tower-team"), trust=TRUST, **options):
    return Bundle(
        DEPLOYMENT,
        number,
        options.get("models", {"clauses": Model("v1", ("beams",))}),
        options.get("account_by_name") or {name: account(name) for name in accounts},
        {
            "engine-1": Upstream("engine", "http://127.0.0.1:1", "norte", ("clauses",)),
            "drafting-1": Upstream(
                "service", "http://127.0.0.1:2", "norte", service="drafting"
            ),
        },
        {"drafting": Service(("POST /revisions*",))},
        trust,
    )


def first_state(**options):
    signed = sign_bundle(bundle(**options), author=ANA, approver=BRUNO)
    return verify_demo_snapshot(signed)


def verify_demo_snapshot(signed, links=(), roots=ROOTS):
    return verify_snapshot(signed, links, roots=roots, deployment=DEPLOYMENT)


def verify_demo_change(signed, base):
    return verify_change(signed, base, deployment=DEPLOYMENT)


def next_state(base, following, author=ANA, approver=BRUNO):
    signed = sign_bundle(following, author=author, approver=approver, base=base)
    state = verify_demo_change(signed, base)
    assert isinstance(state, BundleState), state
    return state
