"""Runs one node of a fleet on the users' platform until SIGTERM."""

import sys

from ._light_imports import disable_certificate_authorities


def main() -> int:
    """Return 0 after a planned stop, 2 if the settings are invalid."""
    disable_certificate_authorities()
    # This import must follow the line above, because it imports the HTTP library.
    from ._process import run_process

    return run_process()


if __name__ == "__main__":
    sys.exit(main())
