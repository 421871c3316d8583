"""``fireflyward bundle``: write, sign, submit and watch bundles."""

import argparse

from fireflyward.settings import OPERATOR_SETTINGS, add_flags

from ._common import EXIT_USAGE
from ._operator import (
    AS_JSON,
    OPERATOR_EXIT_CODES,
    load_operator,
    load_operator_settings,
)

_WAIT_SECONDS = 9.0


def add(commands) -> None:
    """Add the subcommands."""
    parser = commands.add_parser(
        "bundle",
        help="write, check, sign, submit and watch bundles",
        description="A bundle states everything that operators decide. Its author "
        "signs it, a colleague approves it, and one of them submits it.",
        epilog=OPERATOR_EXIT_CODES,
    )
    inner = parser.add_subparsers(required=True, metavar="ACTION")
    _add_writing(inner)
    _add_signing(inner)
    _add_showing(inner)


def _add_writing(inner) -> None:
    new = _action(inner, "new", "write a file to start from: the bundle in force")
    new.add_argument("file", help="where to write it; never overwrites")
    new.add_argument("--deployment", help="write a first bundle with comments instead")
    check = _action(inner, "check", "check a file as the nodes would")
    check.add_argument("file")
    check.add_argument(
        "--offline", action="store_true", help="check the file alone, ask no node"
    )
    diff = _action(inner, "diff", "show what a file changes, by meaning")
    diff.add_argument("file", help="a bundle, or one that is signed")
    diff.add_argument("--against", help="another file; the bundle in force otherwise")
    plan = _action(inner, "plan", "tell what a file would change, and for whom")
    plan.add_argument("file", help="a bundle, or one that is signed")


def _add_signing(inner) -> None:
    sign = _action(inner, "sign", "sign a file as its author")
    sign.add_argument("file")
    _add_signed_output(sign)
    approve = _action(inner, "approve", "sign a colleague's bundle, after its plan")
    approve.add_argument("signed", help="the signed file, or a proposal's digest")
    approve.add_argument("--out", help="where to write it; FILE.approved otherwise")
    approve.add_argument(
        "--yes", action="store_true", help="do not ask after the plan was shown"
    )
    submit = _action(inner, "submit", "have a bundle with both signatures accepted")
    submit.add_argument("signed")
    revert = _action(inner, "revert", "draft an earlier bundle as the next number")
    revert.add_argument("number", type=int)
    _add_signed_output(revert)


def _add_showing(inner) -> None:
    status = _action(inner, "status", "show which number each node serves by")
    status.add_argument(
        "--wait",
        type=float,
        nargs="?",
        const=_WAIT_SECONDS,
        default=0.0,
        metavar="SECONDS",
        help=f"wait until it is in force everywhere it can be; {_WAIT_SECONDS:g} s",
    )
    history = _action(inner, "history", "list the last accepted numbers")
    history.add_argument("--limit", type=int, default=20)
    _action(inner, "proposals", "list what waits for a colleague's signature")


def _add_signed_output(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--note", default="", help="one line on why, for colleagues")
    parser.add_argument("--out", help="where to write it; FILE.signed otherwise")
    parser.add_argument(
        "--propose",
        action="store_true",
        help="leave it with the nodes for a colleague too",
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
        key = load_operator(settings["key_file"], options)
        if key is None:
            return EXIT_USAGE
    work = ACTIONS[options.action]
    return asyncio.run(run_action(work, options, settings["admin_url"], key))
