"""Calls handlers for signals in the event loop."""

import asyncio
import logging
import signal
import socket
from collections.abc import Callable, Mapping

from fireflyward._held_signals import UNUSED_SIGNALS, HeldSignals

log = logging.getLogger("fireflyward.process")

_WAKE_UP_BYTES = 4_096


class SignalHandlers:
    """Calls a handler for each signal, also for those that were held before.

    Each signal is handled once and in order. Those in ``UNUSED_SIGNALS`` are logged
    and have no other effect. Closing a loop that has signal handlers of its own makes
    their signals end the process; after ``close`` these here are held again.

        with SignalHandlers(held, {signal.SIGTERM: stop.set}):
            await stop.wait()
    """

    __slots__ = (
        "_handler_by_number",
        "_held",
        "_previous_descriptor",
        "_reader",
        "_writer",
    )

    def __init__(
        self,
        held: HeldSignals,
        handler_by_number: Mapping[signal.Signals, Callable[[], None]],
    ) -> None:
        self._held = held
        self._handler_by_number = handler_by_number

    def __enter__(self) -> "SignalHandlers":
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        # A signal writes to this descriptor, so that a loop that waits wakes up.
        self._previous_descriptor = signal.set_wakeup_fd(
            self._writer.fileno(), warn_on_full_buffer=False
        )
        self._held.hold((*self._handler_by_number, *UNUSED_SIGNALS))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._reader, self._on_wake_up)
        self._handle_received()
        return self

    def __exit__(self, *error: object) -> None:
        signal.set_wakeup_fd(self._previous_descriptor)
        asyncio.get_running_loop().remove_reader(self._reader)
        self._reader.close()
        self._writer.close()

    def _on_wake_up(self) -> None:
        self._reader.recv(_WAKE_UP_BYTES)
        self._handle_received()

    def _handle_received(self) -> None:
        for number in self._held.take():
            handle = self._handler_by_number.get(number)
            if handle is None:
                log.warning("process: %s received, which has no effect", number.name)
            else:
                log.info("process: %s received", number.name)
                handle()
