"""What the operators' commands share: exit codes, settings, key and output."""

import argparse
import getpass
import os
import sys
from pathlib import Path
from typing import Any

from fireflyward.settings import OPERATOR_SETTINGS, Settings, load

from ._common import print_error

AS_JSON = "as_json"
EXIT_REFUSED = 3
EXIT_RACED = 4
EXIT_UNCERTAIN = 5
EXIT_BEHIND = 6
OPERATOR_EXIT_CODES = (
    "Exit codes: 0 success; 1 failure, nothing was accepted; 2 wrong usage, nothing "
    "was started; 3 the bundle is refused; 4 another operator's bundle was first; "
    "5 unknown whether it was accepted, submit the same file again; 6 not in "
    "force at every reachable node."
)


def load_operator_settings(options: argparse.Namespace) -> Settings | None:
    """Return the operator's settings, or print their errors and return None."""
    result = load(OPERATOR_SETTINGS, vars(options), os.environ)
    if isinstance(result, Settings):
        return result
    for problem in result:
        print_error(str(problem))
    return None


def read_passphrase(options: argparse.Namespace, *, confirm: bool = False) -> str:
    """Return the passphrase from the settings, or prompt for it at a terminal."""
    settings = load_operator_settings(options)
    if settings is None:
        return ""
    if settings["key_passphrase"] or not sys.stdin.isatty():
        return settings["key_passphrase"]
    passphrase = getpass.getpass("Passphrase: ")
    if confirm and getpass.getpass("Again: ") != passphrase:
        print_error("the two passphrases are not the same")
        return ""
    return passphrase


def load_operator_key(path: str, options: argparse.Namespace) -> Any | None:
    """Return the operator's key, or print why it cannot be used and return None."""
    from fireflyward.bundles import KeyProblem, load_key

    settings = load_operator_settings(options)
    if settings is None:
        return None
    if not path:
        print_error(
            "no key is given: use --key-file; 'fireflyward key new' creates a key"
        )
        return None
    key = load_key(Path(path), settings["key_passphrase"])
    if isinstance(key, KeyProblem) and "needs a passphrase" in key.detail:
        passphrase = read_passphrase(options)
        key = load_key(Path(path), passphrase) if passphrase else key
    if isinstance(key, KeyProblem):
        print_error(str(key))
        return None
    return key


def print_json(value: Any) -> None:
    """Print one JSON object on one line."""
    import msgspec

    print(msgspec.json.encode(value).decode())
