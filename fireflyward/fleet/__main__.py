"""Runs one node of a fleet on the users' platform until SIGTERM."""

import signal
import sys

from fireflyward._held_signals import HELD_SIGNALS, STOP_SIGNALS, UNUSED_SIGNALS

_SIGNALS = (signal.SIGHUP, *STOP_SIGNALS, *UNUSED_SIGNALS)


def main() -> int:
    """Return 0 after a planned stop, 2 if the settings are invalid."""
    # The imports below take most of the start.
    HELD_SIGNALS.hold(_SIGNALS)
    from ._light_imports import disable_certificate_authorities

    disable_certificate_authorities()
    # This import must follow the line above, because it imports the HTTP library.
    from ._process import run_process

    try:
        return run_process(HELD_SIGNALS)
    finally:
        HELD_SIGNALS.ignore()


if __name__ == "__main__":
    sys.exit(main())
