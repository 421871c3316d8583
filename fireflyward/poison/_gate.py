"""The methods that a request calls for the parts of its prompt."""

from typing import Protocol

from fireflyward.quarantine import Free, Held
from fireflyward.replicas import ReplicaState

from ._held_parts import PartOnTrial


class PartGate(Protocol):
    """Admits prompts by their parts, and gets the results; see ``PoisonTask``."""

    async def admit(self, parts: tuple[int, ...]) -> Free | Held | PartOnTrial: ...

    def on_cut(self, parts: tuple[int, ...], replica: ReplicaState) -> None: ...

    def on_answered(self, parts: tuple[int, ...]) -> None: ...


class AnyPart:
    """Admits all prompts and ignores the results."""

    __slots__ = ()

    async def admit(self, parts: tuple[int, ...]) -> Free | Held | PartOnTrial:
        """Return that the prompt may be sent."""
        return Free()

    def on_cut(self, parts: tuple[int, ...], replica: ReplicaState) -> None:
        """Ignore a prompt without an answer."""

    def on_answered(self, parts: tuple[int, ...]) -> None:
        """Ignore an answer."""
