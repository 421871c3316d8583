"""The checks that every node makes before it brings a bundle into force."""

from collections.abc import Mapping

import msgspec

from fireflyward.decoding import DECODE_ERRORS

from ._bundle import Bundle, BundleError, Person
from ._parts import TRUST, canonical_bytes, digest_of, root_of, section_of
from ._signing import SignedBundle, Statement, root_people, signers_of
from ._state import (
    NO_TRUST,
    BundleState,
    assemble,
    changed_entities,
    decode_parts,
    out_of_scope,
    place_parts,
)


def verify_bundle(
    signed: SignedBundle, public_key_by_person: Mapping[str, bytes], deployment: str
) -> Bundle | BundleError:
    """Return a complete bundle if the signatures of two different people are valid."""
    state = verify_snapshot(
        signed, (), roots=root_people(public_key_by_person), deployment=deployment
    )
    return state.bundle if isinstance(state, BundleState) else state


def verify_change(
    signed: SignedBundle, base: BundleState, *, deployment: str
) -> BundleState | BundleError:
    """Return the state after a change that was made for exactly ``base``."""
    statement = _decode_statement(signed.document, deployment)
    if isinstance(statement, BundleError):
        return statement
    error = _order_error(statement, base)
    if error:
        return error
    return _verify(signed, statement, base, base.people, base.links)


def verify_snapshot(
    signed: SignedBundle,
    links: tuple[SignedBundle, ...],
    *,
    roots: Mapping[str, Person],
    deployment: str,
) -> BundleState | BundleError:
    """Return the state of a bundle that comes with all its parts.

    ``links`` lead from the trust roots of the settings to the people who signed it.
    Roles can be checked only against the preceding bundle. This function checks that
    both signers are known and that their keys are not revoked.
    """
    statement = _decode_statement(signed.document, deployment)
    if isinstance(statement, BundleError):
        return statement
    people = _people_for(statement, links, roots, deployment)
    if isinstance(people, BundleError):
        return people
    return _verify(signed, statement, None, people, _links_before(statement, links))


def read_state(
    signed: SignedBundle, base: BundleState | None, *, deployment: str
) -> BundleState | BundleError:
    """Return the state of a draft or signed bundle without verifying signatures.

    For display and planning only: the result must not come into force.
    """
    statement = _decode_statement(signed.document, deployment)
    if isinstance(statement, BundleError):
        return statement
    if base is not None:
        error = _order_error(statement, base)
        if error:
            return error
    people = base.people if base else {}
    return _build(signed, statement, base, people, base.links if base else ())


def _decode_statement(document: bytes, deployment: str) -> Statement | BundleError:
    try:
        statement = msgspec.json.decode(document, type=Statement)
    except DECODE_ERRORS as error:
        return BundleError("statement", str(error), code="unreadable")
    if canonical_bytes(statement) != document:
        detail = "bytes are not canonical"
        return BundleError("statement", detail, code="not_canonical")
    if statement.deployment != deployment:
        detail = f"is for {statement.deployment!r}, not for {deployment!r}"
        return BundleError("deployment", detail, code="other_deployment")
    if statement.number < 1 or statement.chunks < 1 or statement.upstream_chunks < 1:
        return BundleError("statement", "contains a number below 1", code="unreadable")
    return statement


def _order_error(statement: Statement, base: BundleState) -> BundleError | None:
    if statement.number <= base.number:
        detail = (
            f"{statement.number} is not newer than {base.number}, which is in force"
        )
        return BundleError("number", detail, code="replayed")
    if statement.number != base.number + 1 or statement.based_on != base.digest:
        detail = f"was made for another bundle than {base.number}, which is in force"
        return BundleError("based_on", detail, code="other_base")
    if statement.trust_before != base.statement.trust:
        detail = "is not the trust in force"
        return BundleError("trust_before", detail, code="other_trust")
    return None


def _verify(
    signed: SignedBundle,
    statement: Statement,
    base: BundleState | None,
    people: Mapping[str, Person],
    links: tuple[SignedBundle, ...],
) -> BundleState | BundleError:
    signers = signers_of(signed, people)
    if isinstance(signers, BundleError):
        return signers
    if signers[0] != statement.author:
        detail = (
            f"{signers[0]} signed as author, but the statement names {statement.author}"
        )
        return BundleError("author", detail, code="other_author")
    if base is not None:
        error = _change_error(signed, statement, base, signers)
        if error:
            return error
    return _build(signed, statement, base, people, links)


def _change_error(
    signed: SignedBundle,
    statement: Statement,
    base: BundleState,
    signers: tuple[str, str],
) -> BundleError | None:
    table_by_name = decode_parts(statement, signed.parts)
    if isinstance(table_by_name, BundleError):
        return table_by_name
    entities = changed_entities(table_by_name, base)
    return _role_error(signers, base.people, entities)


def _build(
    signed: SignedBundle,
    statement: Statement,
    base: BundleState | None,
    people: Mapping[str, Person],
    links: tuple[SignedBundle, ...],
) -> BundleState | BundleError:
    part_by_name, leaf_by_name = place_parts(statement, signed.parts, base)
    if root_of(leaf_by_name) != statement.root:
        detail = "the parts are not the signed ones"
        return BundleError("root", detail, code="other_parts")
    table_by_name = decode_parts(statement, signed.parts)
    if isinstance(table_by_name, BundleError):
        return table_by_name
    error = _missing_chunks_error(statement, signed, base) if base else None
    if error:
        return error
    bundle = assemble(statement, part_by_name, table_by_name, base)
    if isinstance(bundle, BundleError):
        return bundle
    return _make_state(
        signed, statement, part_by_name, leaf_by_name, bundle, people, links
    )


def _make_state(
    signed: SignedBundle,
    statement: Statement,
    part_by_name: dict[str, bytes],
    leaf_by_name: dict[str, bytes],
    bundle: Bundle,
    people: Mapping[str, Person],
    links: tuple[SignedBundle, ...],
) -> BundleState | BundleError:
    error = _trust_error(statement, part_by_name.get(TRUST, b""), bundle)
    if error:
        return error
    if statement.trust.since == statement.number:
        people = bundle.trust
        link = SignedBundle(
            signed.document, signed.signatures, {TRUST: part_by_name[TRUST]}
        )
        links = (*links, link)
    return BundleState(
        signed=SignedBundle(signed.document, signed.signatures, signed.parts),
        statement=statement,
        part_by_name=part_by_name,
        leaf_by_name=leaf_by_name,
        bundle=bundle,
        people=people,
        links=links,
    )


def _role_error(
    signers: tuple[str, str], people: Mapping[str, Person], entities: set[str]
) -> BundleError | None:
    author, approver = signers
    for name, scopes in (
        (author, people[author].may_author),
        (approver, people[approver].may_approve),
    ):
        entity = out_of_scope(scopes, entities)
        if entity:
            detail = f"{name} may not sign a change of {entity}"
            return BundleError("signatures", detail, code="outside_role")
    return None


def _missing_chunks_error(
    statement: Statement, signed: SignedBundle, base: BundleState
) -> BundleError | None:
    """Reject a new number of chunks unless the change contains all of them."""
    unchanged = base.part_by_name.keys() - signed.parts.keys()
    before = base.statement
    for section, is_changed in (
        ("accounts", before.chunks != statement.chunks),
        ("upstreams", before.upstream_chunks != statement.upstream_chunks),
    ):
        if is_changed and any(section_of(name) == section for name in unchanged):
            detail = "the number of chunks changed, but some chunks are missing"
            return BundleError(section, detail, code="other_parts")
    return None


def _trust_error(
    statement: Statement, body: bytes, bundle: Bundle
) -> BundleError | None:
    """Check that the statement refers to the trust that its parts contain."""
    if statement.trust == NO_TRUST:
        is_consistent = not bundle.trust and statement.trust_before == NO_TRUST
    else:
        before = statement.trust_before
        is_unchanged = statement.trust == before
        is_changed_here = statement.trust.since == statement.number
        is_consistent = statement.trust.digest == digest_of(body) and (
            is_unchanged or is_changed_here
        )
        is_consistent = is_consistent and bool(bundle.trust)
    if is_consistent:
        return None
    return BundleError(TRUST, "is not the signed one", code="other_trust")


def _people_for(
    statement: Statement,
    links: tuple[SignedBundle, ...],
    roots: Mapping[str, Person],
    deployment: str,
) -> Mapping[str, Person] | BundleError:
    """Follow the trust links to the people who may sign ``statement``."""
    people, trust_reached = roots, NO_TRUST
    for link in links:
        if trust_reached == statement.trust_before:
            break
        inner = _decode_statement(link.document, deployment)
        if isinstance(inner, BundleError):
            return inner
        signers = signers_of(link, people)
        if isinstance(signers, BundleError):
            return signers
        body = link.parts.get(TRUST, b"")
        table = decode_parts(inner, {TRUST: body})
        if isinstance(table, BundleError):
            return table
        is_next = (
            inner.trust_before == trust_reached and inner.trust.since == inner.number
        )
        if not is_next or inner.trust.digest != digest_of(body):
            return BundleError(
                TRUST, "a trust link is out of place", code="other_trust"
            )
        people, trust_reached = table[TRUST], inner.trust
    if trust_reached != statement.trust_before:
        return BundleError(TRUST, "trust links are missing", code="other_trust")
    return people


def _links_before(
    statement: Statement, links: tuple[SignedBundle, ...]
) -> tuple[SignedBundle, ...]:
    earlier = []
    for link in links:
        inner = msgspec.json.decode(link.document, type=Statement)
        if inner.number < statement.number:
            earlier.append(link)
    return tuple(earlier)
