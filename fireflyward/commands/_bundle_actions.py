"""The actions of ``fireflyward bundle``, carried out over the administration API."""

import argparse
import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import msgspec

from fireflyward.admin import AdminClient, AdminFailed, PlanReply, SubmitOutcome
from fireflyward.bundles import (
    Bundle,
    BundleError,
    BundleState,
    SignedBundle,
    SigningKey,
    diff,
    digest_of,
    draft,
    parse_bundle,
    read_state,
    statement_of,
    to_toml,
    with_approver,
    with_author,
)

from ._bundle_output import CheckedFile, SignedFile, WrittenFile, result_lines
from ._common import EXIT_FAILED, EXIT_OK, EXIT_USAGE, print_error
from ._operator import (
    AS_JSON,
    EXIT_BEHIND,
    EXIT_RACED,
    EXIT_REFUSED,
    EXIT_UNCERTAIN,
    print_json,
)
from ._template import first_bundle

_STATUS_POLL_S = 0.2
_DIGEST_CHARACTERS = 64
_PLATFORM_UNAVAILABLE = "platform_away"
_EXIT_BY_OUTCOME = {
    SubmitOutcome.ACCEPTED: EXIT_OK,
    SubmitOutcome.REFUSED: EXIT_REFUSED,
    SubmitOutcome.RACED: EXIT_RACED,
    SubmitOutcome.UNCERTAIN: EXIT_UNCERTAIN,
    SubmitOutcome.UNAVAILABLE: EXIT_FAILED,
}


class _ActionStopped(Exception):
    """Raised by an action that cannot continue; caught in ``run_action``."""

    def __init__(self, exit_code: int, *reasons: object) -> None:
        super().__init__(*reasons)
        self.exit_code = exit_code
        self.reasons = reasons


class _Session:
    """The options, client and key of one run of an action."""

    def __init__(
        self, options: argparse.Namespace, client: AdminClient, key: SigningKey | None
    ) -> None:
        self.options = options
        self.client = client
        self.key = key

    def print_result(self, value: object) -> None:
        """Print a result, as JSON if the options say so."""
        if getattr(self.options, AS_JSON):
            print_json(value)
        else:
            print("\n".join(result_lines(value)))

    async def current_state(self) -> BundleState | None:
        """Return the state in force, or None before the first bundle."""
        current = await self.client.current()
        if isinstance(current, AdminFailed):
            if current.code == "no_bundle":
                return None
            raise _ActionStopped(EXIT_FAILED, current)
        return _decode_state(current)


ActionFunction = Callable[[_Session], Awaitable[int]]


async def run_action(
    action: ActionFunction,
    options: argparse.Namespace,
    url: str,
    key: SigningKey | None,
) -> int:
    """Run an action and return its exit code; if it stops early, print the reasons."""
    async with aiohttp.ClientSession() as http:
        client = AdminClient(http, url, key)
        try:
            return await action(_Session(options, client, key))
        except _ActionStopped as stopped:
            for reason in stopped.reasons:
                print_error(str(reason))
            return stopped.exit_code


def is_offline(options: argparse.Namespace) -> bool:
    """Return whether an action sends no request to a node and so needs no key."""
    if options.action == "new":
        return bool(options.deployment)
    if options.action == "diff":
        return bool(options.against)
    return options.action == "check" and options.offline


async def _new(session: _Session) -> int:
    options = session.options
    if options.deployment:
        text = first_bundle(options.deployment)
    else:
        current_state = await session.current_state()
        if current_state is None:
            raise _ActionStopped(
                EXIT_USAGE, "no bundle is in force yet: give --deployment NAME"
            )
        next_bundle = msgspec.structs.replace(
            current_state.bundle, number=current_state.number + 1
        )
        text = to_toml(next_bundle)
    _write_new(Path(options.file), text.encode())
    session.print_result(WrittenFile(options.file))
    return EXIT_OK


async def _check(session: _Session) -> int:
    options = session.options
    text = _read(options.file).decode(errors="replace")
    if options.offline:
        parsed = parse_bundle(text)
        errors = () if isinstance(parsed, Bundle) else parsed
        session.print_result(CheckedFile(options.file, tuple(map(str, errors))))
        return EXIT_REFUSED if errors else EXIT_OK
    reply = _successful(await session.client.check(text))
    problems = tuple(map(str, reply.problems))
    session.print_result(CheckedFile(options.file, problems, reply.warnings))
    return EXIT_REFUSED if problems else EXIT_OK


async def _diff(session: _Session) -> int:
    options = session.options
    if options.against:
        new, old = _load_bundle(options.file), _load_bundle(options.against)
        differences = diff(old, new)
    else:
        differences = (await _request_plan_of_file(session, options.file)).differences
    session.print_result(differences)
    return EXIT_OK


async def _plan(session: _Session) -> int:
    reply = await _request_plan_of_file(session, session.options.file)
    session.print_result(reply.plan)
    return EXIT_OK


async def _sign(session: _Session) -> int:
    options = session.options
    bundle = _load_bundle(options.file)
    return await _draft_and_sign(session, bundle, options.file)


async def _revert(session: _Session) -> int:
    """Draft and sign an earlier bundle under the next number, with current trust.

    Trust is not reverted, because that would restore keys that were revoked.
    """
    number = session.options.number
    earlier = _decode_state(_successful(await session.client.bundle_at(number)))
    current_state = await session.current_state()
    if current_state is None:
        raise _ActionStopped(EXIT_USAGE, "no bundle is in force yet")
    bundle = msgspec.structs.replace(
        earlier.bundle,
        number=current_state.number + 1,
        trust=current_state.bundle.trust,
    )
    note = session.options.note or f"revert to {number}"
    session.options.note = note
    return await _draft_and_sign(session, bundle, f"revert-to-{number}")


async def _draft_and_sign(session: _Session, bundle: Bundle, name: str) -> int:
    options = session.options
    current_state = await session.current_state()
    expected = (current_state.number if current_state else 0) + 1
    if bundle.number != expected:
        detail = f"number: {bundle.number} in the file, but the next one is {expected}"
        raise _ActionStopped(EXIT_REFUSED, detail)
    drafted = draft(
        bundle,
        author=session.key.person,
        base=current_state,
        note=options.note,
    )
    signed = with_author(drafted, session.key)
    reply = await _request_plan(session, signed)
    path = options.out or f"{name}.signed"
    _write_new(Path(path), msgspec.json.encode(signed))
    if options.propose:
        _successful(await session.client.propose(signed))
    session.print_result(_signed_file(path, signed, reply, is_proposed=options.propose))
    return EXIT_OK


async def _approve(session: _Session) -> int:
    options = session.options
    is_digest = len(options.signed) == _DIGEST_CHARACTERS
    if is_digest and not os.path.exists(options.signed):
        signed = _successful(await session.client.proposal(options.signed))
    else:
        signed = _read_signed(options.signed)
    reply = await _request_plan(session, signed)
    statement = statement_of(signed)
    if statement.author == session.key.person:
        raise _ActionStopped(
            EXIT_REFUSED, "you are the author; a colleague must approve it"
        )
    if not options.yes:
        _confirm(reply, statement.number)
    approved = with_approver(signed, session.key)
    name = f"bundle-{statement.number}" if is_digest else options.signed
    path = options.out or f"{name.removesuffix('.signed')}.approved"
    _write_new(Path(path), msgspec.json.encode(approved))
    session.print_result(_signed_file(path, approved, reply))
    return EXIT_OK


async def _submit(session: _Session) -> int:
    signed = _read_signed(session.options.signed)
    reply = await session.client.submit(signed)
    if isinstance(reply, AdminFailed):
        is_lost = reply.code == "answer_lost"
        raise _ActionStopped(EXIT_UNCERTAIN if is_lost else EXIT_FAILED, reply)
    session.print_result(reply)
    if any(problem.code == _PLATFORM_UNAVAILABLE for problem in reply.problems):
        return EXIT_FAILED
    return _EXIT_BY_OUTCOME[reply.outcome]


async def _status(session: _Session) -> int:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + session.options.wait
    reply = _successful(await session.client.status())
    while not reply.is_in_force_everywhere and loop.time() < deadline_s:
        await asyncio.sleep(_STATUS_POLL_S)
        reply = _successful(await session.client.status())
    session.print_result(reply)
    return EXIT_OK if reply.is_in_force_everywhere else EXIT_BEHIND


async def _history(session: _Session) -> int:
    reply = _successful(await session.client.history())
    heads = reply.heads[: session.options.limit]
    session.print_result(msgspec.structs.replace(reply, heads=heads))
    return EXIT_OK


async def _proposals(session: _Session) -> int:
    session.print_result(_successful(await session.client.proposals()))
    return EXIT_OK


async def _request_plan_of_file(session: _Session, path: str) -> PlanReply:
    """Request the plan of a file, whether it is signed or not."""
    body = _read(path)
    try:
        signed = msgspec.json.decode(body, type=SignedBundle)
    except msgspec.DecodeError:
        bundle = _load_bundle(path)
        current_state = await session.current_state()
        signed = draft(bundle, author=session.key.person, base=current_state)
    return await _request_plan(session, signed)


async def _request_plan(session: _Session, signed: SignedBundle) -> PlanReply:
    reply = _successful(await session.client.plan(signed))
    if reply.problems or reply.plan is None:
        raise _ActionStopped(EXIT_REFUSED, *reply.problems)
    return reply


def _confirm(reply: PlanReply, number: int) -> None:
    print("\n".join(result_lines(reply.plan)))
    if not sys.stdin.isatty():
        raise _ActionStopped(
            EXIT_USAGE, "confirmation needs a terminal; read the plan, then use --yes"
        )
    if input(f"Type {number} to sign this: ").strip() != str(number):
        raise _ActionStopped(EXIT_USAGE, "not signed")


def _successful(reply):
    if isinstance(reply, AdminFailed):
        raise _ActionStopped(EXIT_FAILED, reply)
    return reply


def _decode_state(signed: SignedBundle) -> BundleState:
    deployment = statement_of(signed).deployment
    state = read_state(signed, None, deployment=deployment)
    if isinstance(state, BundleError):
        raise _ActionStopped(EXIT_FAILED, f"the node sent an invalid bundle: {state}")
    return state


def _load_bundle(path: str) -> Bundle:
    parsed = parse_bundle(_read(path).decode(errors="replace"))
    if isinstance(parsed, Bundle):
        return parsed
    raise _ActionStopped(EXIT_REFUSED, *(f"{path}: {error}" for error in parsed))


def _read_signed(path: str) -> SignedBundle:
    try:
        signed = msgspec.json.decode(_read(path), type=SignedBundle)
        statement_of(signed)
    except msgspec.DecodeError as error:
        raise _ActionStopped(
            EXIT_REFUSED, f"{path} is not a signed bundle: {error}"
        ) from error
    return signed


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise _ActionStopped(EXIT_USAGE, f"{path}: {error.strerror}") from error


def _write_new(path: Path, body: bytes) -> None:
    try:
        with open(path, "xb") as file:
            file.write(body)
    except OSError as error:
        raise _ActionStopped(EXIT_USAGE, f"{path}: {error.strerror}") from error


def _signed_file(
    path: str, signed: SignedBundle, reply: PlanReply, *, is_proposed: bool = False
) -> SignedFile:
    people = tuple(signature.person for signature in signed.signatures)
    number = statement_of(signed).number
    digest = digest_of(signed.document)
    return SignedFile(path, number, digest, people, is_proposed, reply.plan)


ACTIONS: dict[str, ActionFunction] = {
    "new": _new,
    "check": _check,
    "diff": _diff,
    "plan": _plan,
    "sign": _sign,
    "approve": _approve,
    "submit": _submit,
    "status": _status,
    "history": _history,
    "proposals": _proposals,
    "revert": _revert,
}
