"""``fireflyward key``: creates and shows an operator's private key."""

import argparse
import os

from fireflyward.settings import OPERATOR_SETTINGS, add_flags

from ._common import EXIT_FAILED, EXIT_OK, EXIT_USAGE, print_error
from ._operator import AS_JSON, load_operator_key, print_json, read_passphrase


def add(commands) -> None:
    """Add the subcommands."""
    parser = commands.add_parser(
        "key",
        help="create and show your signing key",
        description="Your private key signs bundles and your requests. Its file has "
        "mode 0600; it is refused if other users have access. Give it a passphrase.",
    )
    inner = parser.add_subparsers(required=True, metavar="ACTION")
    new = inner.add_parser("new", help="create a key; never overwrites a file")
    new.add_argument("file", help="file to write the private key to")
    new.add_argument("--person", required=True, help="your name, as in the bundle")
    new.add_argument(
        "--no-passphrase",
        action="store_true",
        help="write the key without a passphrase, for trials only",
    )
    new.set_defaults(run=run_new)
    show = inner.add_parser("show", help="print the public key of a key file")
    show.add_argument("file", help="file of the private key")
    show.set_defaults(run=run_show)
    for command in (new, show):
        command.add_argument("--json", dest=AS_JSON, action="store_true")
        add_flags(command, OPERATOR_SETTINGS[2:])


def run_new(options: argparse.Namespace) -> int:
    """Create a key file and print its public key."""
    from pathlib import Path

    from fireflyward.bundles import KeyProblem, create_key

    passphrase = ""
    if not options.no_passphrase:
        passphrase = read_passphrase(options, confirm=True)
        if not passphrase:
            print_error(
                "a passphrase is needed: give --key-passphrase or its variable, or use "
                "a terminal; --no-passphrase creates a key without one"
            )
            return EXIT_USAGE
    key = create_key(Path(options.file), options.person, passphrase)
    if isinstance(key, KeyProblem):
        print_error(str(key))
        return EXIT_FAILED
    _print_public(key, options)
    return EXIT_OK


def run_show(options: argparse.Namespace) -> int:
    """Print the public key of a key file."""
    key = load_operator_key(options.file, options)
    if key is None:
        return EXIT_USAGE
    _print_public(key, options)
    return EXIT_OK


def _print_public(key, options: argparse.Namespace) -> None:
    from fireflyward.bundles import public_hex

    if getattr(options, AS_JSON):
        fields = {"person": key.person, "public_key": public_hex(key)}
        print_json({**fields, "file": os.path.abspath(options.file)})
    else:
        print(f"person      {key.person}")
        print(f"public key  {public_hex(key)}")
        print(f"trust root  {key.person}={public_hex(key)}")
