"""Keeps the signals of a process until something handles them.

This module imports nothing but ``signal``, because a program imports it first.
"""

import signal
from collections.abc import Iterable
from types import FrameType


class HeldSignals:
    """Signals in the order of their arrival, from ``hold`` until ``take``.

    By default a signal that arrives while a program still imports its modules, or
    after its event loop has closed, ends the process.

    >>> held = HeldSignals()
    >>> held.hold((signal.SIGUSR1,))
    >>> signal.raise_signal(signal.SIGUSR1)
    >>> held.take()
    [<Signals.SIGUSR1: 10>]
    >>> held.release()
    """

    __slots__ = ("_previous_by_number", "_received")

    def __init__(self) -> None:
        self._received: list[signal.Signals] = []
        self._previous_by_number: dict[signal.Signals, object] = {}

    @property
    def numbers(self) -> frozenset[signal.Signals]:
        """Return the signals that are held."""
        return frozenset(self._previous_by_number)

    def hold(self, numbers: Iterable[signal.Signals]) -> None:
        """Keep these signals from now on, besides those that are held already."""
        for number in numbers:
            if number not in self._previous_by_number:
                previous = signal.signal(number, self._on_signal)
                self._previous_by_number[number] = previous

    def take(self) -> list[signal.Signals]:
        """Return the signals that arrived since the last call."""
        received, self._received = self._received, []
        return received

    def release(self) -> None:
        """Restore what these signals did before they were held."""
        for number, previous in self._previous_by_number.items():
            signal.signal(number, previous)
        self._previous_by_number.clear()

    def ignore(self) -> None:
        """Let these signals have no effect for the rest of the process.

        Handlers do not last until its end: the interpreter restores the defaults,
        which end the process, before it exits.
        """
        for number in self._previous_by_number:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self._received.append(signal.Signals(number))


# The handlers of signals belong to the process.
HELD_SIGNALS = HeldSignals()
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Their default ends the process, and no part of this package uses them.
UNUSED_SIGNALS = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM)
