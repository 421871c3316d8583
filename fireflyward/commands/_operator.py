"""What the operators' commands share: key, passphrase and output."""

import argparse
import getpass
import os
import sys
from pathlib import Path
from typing import Any

from fireflyward.settings import OPERATOR_SETTINGS, Settings, load

from ._common import complain

AS_JSON = "as_json"
EXIT_REFUSED = 3
EXIT_RACED = 4
EXIT_UNCERTAIN = 5
EXIT_BEHIND = 6
OPERATOR_EXIT_CODES = (
    "Exit codes: 0 done; 1 tried and failed, nothing was accepted; 2 wrong use, "
    "nothing begun; 3 the bundle is refused; 4 another operator was first; "
    "5 not known whether it was accepted, submit the same file again; 6 not in "
    "force everywhere it can be."
)


def load_operator_settings(options: argparse.Namespace) -> Settings | None:
    """Check the operator's flags and variables; print refusals, None if any."""
    result = load(OPERATOR_SETTINGS, vars(options), os.environ)
    if isinstance(result, Settings):
        return result
    for refused in result:
        complain(str(refused))
    return None


def read_passphrase(options: argparse.Namespace, *, confirm: bool = False) -> str:
    """Return the passphrase of the settings, or ask for it at a terminal."""
    settings = load_operator_settings(options)
    if settings is None:
        return ""
    if settings["key_passphrase"] or not sys.stdin.isatty():
        return settings["key_passphrase"]
    passphrase = getpass.getpass("Passphrase: ")
    if confirm and getpass.getpass("Again: ") != passphrase:
        complain("the two are not the same")
        return ""
    return passphrase


def load_operator(path: str, options: argparse.Namespace) -> Any | None:
    """Return the operator's key, or None after saying why it cannot be used."""
    from fireflyward.bundles import KeyProblem, load_key

    settings = load_operator_settings(options)
    if settings is None:
        return None
    if not path:
        complain("which key? give --key-file; 'fireflyward key new' makes one")
        return None
    key = load_key(Path(path), settings["key_passphrase"])
    if isinstance(key, KeyProblem) and "needs a passphrase" in key.detail:
        passphrase = read_passphrase(options)
        key = load_key(Path(path), passphrase) if passphrase else key
    if isinstance(key, KeyProblem):
        complain(str(key))
        return None
    return key


def print_json(value: Any) -> None:
    """Print one JSON object on one line."""
    import msgspec

    print(msgspec.json.encode(value).decode())
