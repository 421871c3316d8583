"""The actions of ``fireflyward bundle``, over the administration API."""

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

from ._bundle_show import CheckedFile, SignedFile, WrittenFile, show
from ._common import EXIT_FAILED, EXIT_OK, EXIT_USAGE, complain
from ._operator import (
    AS_JSON,
    EXIT_BEHIND,
    EXIT_RACED,
    EXIT_REFUSED,
    EXIT_UNCERTAIN,
    print_json,
)
from ._template import first_bundle

_WAIT_STEP_S = 0.2
_DIGEST_CHARACTERS = 64
_AWAY = "platform_away"
_EXIT_BY_OUTCOME = {
    SubmitOutcome.ACCEPTED: EXIT_OK,
    SubmitOutcome.REFUSED: EXIT_REFUSED,
    SubmitOutcome.RACED: EXIT_RACED,
    SubmitOutcome.UNCERTAIN: EXIT_UNCERTAIN,
    SubmitOutcome.UNAVAILABLE: EXIT_FAILED,
}


class _Stopped(Exception):
    """An action that cannot go on; caught once, in ``run_action``."""

    def __init__(self, exit_code: int, *reasons: object) -> None:
        super().__init__(*reasons)
        self.exit_code = exit_code
        self.reasons = reasons


class _Session:
    """One run of one action."""

    def __init__(
        self, options: argparse.Namespace, client: AdminClient, key: SigningKey | None
    ) -> None:
        self.options = options
        self.client = client
        self.key = key

    def tell(self, value: object) -> None:
        """Print a result, as JSON if that was asked for."""
        if getattr(self.options, AS_JSON):
            print_json(value)
        else:
            print("\n".join(show(value)))

    async def base(self) -> BundleState | None:
        """Return the bundle in force; None before the first."""
        current = await self.client.current()
        if isinstance(current, AdminFailed):
            if current.code == "no_bundle":
                return None
            raise _Stopped(EXIT_FAILED, current)
        return _opened(current)


Work = Callable[[_Session], Awaitable[int]]


async def run_action(
    work: Work, options: argparse.Namespace, url: str, key: SigningKey | None
) -> int:
    """Run an action and print why it stopped, if it did."""
    async with aiohttp.ClientSession() as http:
        client = AdminClient(http, url, key)
        try:
            return await work(_Session(options, client, key))
        except _Stopped as stopped:
            for reason in stopped.reasons:
                complain(str(reason))
            return stopped.exit_code


def is_offline(options: argparse.Namespace) -> bool:
    """Tell whether an action asks no node, so that it needs no key."""
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
        base = await session.base()
        if base is None:
            raise _Stopped(
                EXIT_USAGE, "no bundle is in force yet: give --deployment NAME"
            )
        following = msgspec.structs.replace(base.bundle, number=base.number + 1)
        text = to_toml(following)
    _write_new(Path(options.file), text.encode())
    session.tell(WrittenFile(options.file))
    return EXIT_OK


async def _check(session: _Session) -> int:
    options = session.options
    text = _read(options.file).decode(errors="replace")
    if options.offline:
        parsed = parse_bundle(text)
        errors = () if isinstance(parsed, Bundle) else parsed
        session.tell(CheckedFile(options.file, tuple(map(str, errors))))
        return EXIT_REFUSED if errors else EXIT_OK
    reply = _answered(await session.client.check(text))
    problems = tuple(map(str, reply.problems))
    session.tell(CheckedFile(options.file, problems, reply.warnings))
    return EXIT_REFUSED if problems else EXIT_OK


async def _diff(session: _Session) -> int:
    options = session.options
    if options.against:
        new, old = _parsed(options.file), _parsed(options.against)
        differences = diff(old, new)
    else:
        differences = (await _planned(session, options.file)).differences
    session.tell(differences)
    return EXIT_OK


async def _plan(session: _Session) -> int:
    reply = await _planned(session, session.options.file)
    session.tell(reply.plan)
    return EXIT_OK


async def _sign(session: _Session) -> int:
    options = session.options
    bundle = _parsed(options.file)
    return await _draft_and_sign(session, bundle, options.file)


async def _revert(session: _Session) -> int:
    """Draft an earlier content under the next number, with today's trust.

    Who may sign is not reverted: that would bring back keys that were revoked.
    """
    number = session.options.number
    earlier = _opened(_answered(await session.client.bundle_at(number)))
    base = await session.base()
    if base is None:
        raise _Stopped(EXIT_USAGE, "no bundle is in force yet")
    bundle = msgspec.structs.replace(
        earlier.bundle, number=base.number + 1, trust=base.bundle.trust
    )
    note = session.options.note or f"revert to {number}"
    session.options.note = note
    return await _draft_and_sign(session, bundle, f"revert-to-{number}")


async def _draft_and_sign(session: _Session, bundle: Bundle, name: str) -> int:
    options = session.options
    base = await session.base()
    expected = (base.number if base else 0) + 1
    if bundle.number != expected:
        detail = f"number: {bundle.number} in the file, but the next one is {expected}"
        raise _Stopped(EXIT_REFUSED, detail)
    drafted = draft(bundle, author=session.key.person, base=base, note=options.note)
    signed = with_author(drafted, session.key)
    reply = await _checked_plan(session, signed)
    path = options.out or f"{name}.signed"
    _write_new(Path(path), msgspec.json.encode(signed))
    if options.propose:
        _answered(await session.client.propose(signed))
    session.tell(_signed_file(path, signed, reply, is_proposed=options.propose))
    return EXIT_OK


async def _approve(session: _Session) -> int:
    options = session.options
    is_digest = len(options.signed) == _DIGEST_CHARACTERS
    if is_digest and not os.path.exists(options.signed):
        signed = _answered(await session.client.proposal(options.signed))
    else:
        signed = _read_signed(options.signed)
    reply = await _checked_plan(session, signed)
    statement = statement_of(signed)
    if statement.author == session.key.person:
        raise _Stopped(EXIT_REFUSED, "you are its author; a colleague must approve it")
    if not options.yes:
        _ask(reply, statement.number)
    approved = with_approver(signed, session.key)
    name = f"bundle-{statement.number}" if is_digest else options.signed
    path = options.out or f"{name.removesuffix('.signed')}.approved"
    _write_new(Path(path), msgspec.json.encode(approved))
    session.tell(_signed_file(path, approved, reply))
    return EXIT_OK


async def _submit(session: _Session) -> int:
    signed = _read_signed(session.options.signed)
    reply = await session.client.submit(signed)
    if isinstance(reply, AdminFailed):
        is_lost = reply.code == "answer_lost"
        raise _Stopped(EXIT_UNCERTAIN if is_lost else EXIT_FAILED, reply)
    session.tell(reply)
    if any(problem.code == _AWAY for problem in reply.problems):
        return EXIT_FAILED
    return _EXIT_BY_OUTCOME[reply.outcome]


async def _status(session: _Session) -> int:
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + session.options.wait
    reply = _answered(await session.client.status())
    while not reply.is_in_force_everywhere and loop.time() < ends_s:
        await asyncio.sleep(_WAIT_STEP_S)
        reply = _answered(await session.client.status())
    session.tell(reply)
    return EXIT_OK if reply.is_in_force_everywhere else EXIT_BEHIND


async def _history(session: _Session) -> int:
    reply = _answered(await session.client.history())
    heads = reply.heads[: session.options.limit]
    session.tell(msgspec.structs.replace(reply, heads=heads))
    return EXIT_OK


async def _proposals(session: _Session) -> int:
    session.tell(_answered(await session.client.proposals()))
    return EXIT_OK


async def _planned(session: _Session, path: str) -> PlanReply:
    """Ask for the plan of a file, whether it is signed already or not."""
    body = _read(path)
    try:
        signed = msgspec.json.decode(body, type=SignedBundle)
    except msgspec.DecodeError:
        bundle = _parsed(path)
        base = await session.base()
        signed = draft(bundle, author=session.key.person, base=base)
    return await _checked_plan(session, signed)


async def _checked_plan(session: _Session, signed: SignedBundle) -> PlanReply:
    reply = _answered(await session.client.plan(signed))
    if reply.problems or reply.plan is None:
        raise _Stopped(EXIT_REFUSED, *reply.problems)
    return reply


def _ask(reply: PlanReply, number: int) -> None:
    print("\n".join(show(reply.plan)))
    if not sys.stdin.isatty():
        raise _Stopped(EXIT_USAGE, "no terminal to ask at; read the plan, then --yes")
    if input(f"Type {number} to sign this: ").strip() != str(number):
        raise _Stopped(EXIT_USAGE, "not signed")


def _answered(reply):
    if isinstance(reply, AdminFailed):
        raise _Stopped(EXIT_FAILED, reply)
    return reply


def _opened(signed: SignedBundle) -> BundleState:
    deployment = statement_of(signed).deployment
    state = read_state(signed, None, deployment=deployment)
    if isinstance(state, BundleError):
        raise _Stopped(EXIT_FAILED, f"what the node sent is not whole: {state}")
    return state


def _parsed(path: str) -> Bundle:
    parsed = parse_bundle(_read(path).decode(errors="replace"))
    if isinstance(parsed, Bundle):
        return parsed
    raise _Stopped(EXIT_REFUSED, *(f"{path}: {error}" for error in parsed))


def _read_signed(path: str) -> SignedBundle:
    try:
        signed = msgspec.json.decode(_read(path), type=SignedBundle)
        statement_of(signed)
    except msgspec.DecodeError as error:
        raise _Stopped(EXIT_REFUSED, f"{path} is no signed bundle: {error}") from error
    return signed


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise _Stopped(EXIT_USAGE, f"{path}: {error.strerror}") from error


def _write_new(path: Path, body: bytes) -> None:
    try:
        with open(path, "xb") as file:
            file.write(body)
    except OSError as error:
        raise _Stopped(EXIT_USAGE, f"{path}: {error.strerror}") from error


def _signed_file(
    path: str, signed: SignedBundle, reply: PlanReply, *, is_proposed: bool = False
) -> SignedFile:
    people = tuple(signature.person for signature in signed.signatures)
    number = statement_of(signed).number
    digest = digest_of(signed.document)
    return SignedFile(path, number, digest, people, is_proposed, reply.plan)


ACTIONS: dict[str, Work] = {
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
