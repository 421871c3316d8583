"""Runs one node of a fleet on the users' platform until SIGTERM."""

import sys

from ._light_imports import disable_certificate_authorities


def main() -> int:
    """Return 0 after a planned stop, 2 for settings that are wrong."""
    disable_certificate_authorities()
    # Imports the HTTP library, which the line before is for.
    from ._process import run_process

    return run_process()


if __name__ == "__main__":
    sys.exit(main())
