"""``fireflyward bundle``: writes, signs, submits and shows bundles."""

import argparse

from fireflyward.settings import OPERATOR_SETTINGS, add_flags

from ._common import EXIT_USAGE
from ._operator import (
    AS_JSON,
    OPERATOR_EXIT_CODES,
    load_operator_key,
    load_operator_settings,
)

_MAX_WAIT_S = 9.0


def add(commands) -> None:
    """Add the subcommands."""
    parser = commands.add_parser(
        "bundle",
        help="write, check, sign, submit and show bundles",
        description="A bundle is the complete configuration of a deployment. Its "
        "author signs it, a colleague approves it, and one of them submits it.",
        epilog=OPERATOR_EXIT_CODES,
    )
    inner = parser.add_subparsers(required=True, metavar="ACTION")
    _add_writing(inner)
    _add_signing(inner)
    _add_showing(inner)


def _add_writing(inner) -> None:
    new = _action(inner, "new", "write the bundle in force to a file, to edit it")
    new.add_argument("file", help="file to write; it must not exist yet")
    new.add_argument("--deployment", help="write a commented first bundle instead")
    check = _action(inner, "check", "check a file as the nodes do")
    check.add_argument("file")
    check.add_argument(
        "--offline",
        action="store_true",
        help="check the file alone, without a request to a node",
    )
    diff = _action(inner, "diff", "show what a file changes, by meaning")
    diff.add_argument("file", help="a bundle or a signed bundle")
    diff.add_argument(
        "--against", help="file to compare with; default: the bundle in force"
    )
    plan = _action(inner, "plan", "show what a file would change, and for whom")
    plan.add_argument("file", help="a bundle or a signed bundle")


def _add_signing(inner) -> None:
    sign = _action(inner, "sign", "sign a file as its author")
    sign.add_argument("file")
    _add_signed_output(sign)
    approve = _action(
        inner, "approve", "show the plan of a colleague's bundle and sign it"
    )
    approve.add_argument("signed", help="the signed file, or a proposal's digest")
    approve.add_argument("--out", help="file to write; default: FILE.approved")
    approve.add_argument(
        "--yes", action="store_true", help="sign without asking for confirmation"
    )
    submit = _action(inner, "submit", "submit a bundle with both signatures")
    submit.add_argument("signed")
    revert = _action(inner, "revert", "sign an earlier bundle under the next number")
    revert.add_argument("number", type=int)
    _add_signed_output(revert)


def _add_showing(inner) -> None:
    status = _action(inner, "status", "show the number in force at each node")
    status.add_argument(
        "--wait",
        type=float,
        nargs="?",
        const=_MAX_WAIT_S,
        default=0.0,
        metavar="SECONDS",
        help="wait until the number is in force at every reachable node; without "
        f"SECONDS at most {_MAX_WAIT_S:g} s",
    )
    history = _action(inner, "history", "list the last accepted numbers")
    history.add_argument("--limit", type=int, default=20)
    _action(inner, "proposals", "list bundles that wait for a colleague's signature")


def _add_signed_output(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--note", default="", help="reason for the change in one line")
    parser.add_argument("--out", help="file to write; default: FILE.signed")
    parser.add_argument(
        "--propose",
        action="store_true",
        help="also store it at the nodes, for a colleague to approve",
    )


def _action(inner, name: str, help_text: str) -> argparse.ArgumentParser:
    parser = inner.add_parser(name, help=help_text, epilog=OPERATOR_EXIT_CODES)
    parser.add_argument(
        "--json", dest=AS_JSON, action="store_true", help="print one JSON object"
    )
    add_flags(parser, OPERATOR_SETTINGS)
    parser.set_defaults(run=run, action=name)
    return parser


def run(options: argparse.Namespace) -> int:
    """Run one action and return its exit code."""
    import asyncio

    from ._bundle_actions import ACTIONS, is_offline, run_action

    settings = load_operator_settings(options)
    if settings is None:
        return EXIT_USAGE
    key = None
    if not is_offline(options):
        key = load_operator_key(settings["key_file"], options)
        if key is None:
            return EXIT_USAGE
    action = ACTIONS[options.action]
    return asyncio.run(run_action(action, options, settings["admin_url"], key))
