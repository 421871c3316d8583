"""Runs one node of a fleet on the users' platform until SIGTERM."""

import signal
import sys

from fireflyward._held_signals import HELD_SIGNALS, STOP_SIGNALS, UNUSED_SIGNALS

_SIGNALS = (signal.SIGHUP, *STOP_SIGNALS, *UNUSED_SIGNALS)


_FAILED_IMPORT = 1


def main() -> int:
    """Return the exit status; see ``run_process``."""
    # The imports below take most of the start.
    HELD_SIGNALS.hold(_SIGNALS)
    from ._light_imports import disable_certificate_authorities

    disable_certificate_authorities()
    # This import must follow the line above, because it imports the HTTP library.
    try:
        from ._process import run_process
    except Exception as error:
        from ._import_errors import log_import_error

        log_import_error(error)
        return _FAILED_IMPORT
    try:
        return run_process(HELD_SIGNALS)
    finally:
        HELD_SIGNALS.ignore()


if __name__ == "__main__":
    sys.exit(main())
