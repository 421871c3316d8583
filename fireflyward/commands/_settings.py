"""``fireflyward settings``: prints the settings in force and their sources."""

import argparse

from fireflyward.settings import SERVE_SETTINGS, add_flags

from ._common import EXIT_OK, EXIT_USAGE, load_settings


def add(commands) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "settings",
        help="print the settings in force and where each comes from",
        description="Checks flags and variables as serve does, and prints them. "
        "Secrets are shown only as set or not set. Like serve it exits with 2 if a "
        "required setting, such as kept_key or peer_keys, is missing.",
    )
    parser.add_argument(
        "--reference",
        action="store_true",
        help="print the reference of all settings in Markdown instead",
    )
    add_flags(parser, SERVE_SETTINGS)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the settings or their reference."""
    if options.reference:
        print(reference())
        return EXIT_OK
    settings = load_settings(options)
    if settings is None:
        return EXIT_USAGE
    for name, shown, source in settings.rows():
        print(f"{name} = {shown}  ({source})")
    return EXIT_OK


def reference() -> str:
    """Return the text of docs/SETTINGS.md; a test compares the page with it."""
    lines = [
        "# Settings",
        "",
        "Every setting is a flag and an environment variable; the flag goes first,",
        "then the variable, then the default. A wrong value stops the command with",
        "exit code 2 before any socket opens. This page is the output of",
        "`fireflyward settings --reference`.",
        "",
        "| Flag | Variable | Default | Allowed | For |",
        "| --- | --- | --- | --- | --- |",
    ]
    for item in sorted(SERVE_SETTINGS, key=lambda setting: setting.name):
        lines.append(
            f"| `{item.flag}` | `{item.variable}` | {item.shown_default} "
            f"| {item.allowed} | {item.help} |"
        )
    return "\n".join(lines)
