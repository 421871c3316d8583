"""Results of calls to the platform, one class for each outcome."""

from dataclasses import dataclass, field

from ._position import Position


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table; within an era, each write to it increases ``version``."""

    key: str
    value: bytes
    version: int
    era: int = 0

    @property
    def position(self) -> Position:
        return Position(self.era, self.version)


@dataclass(frozen=True, slots=True)
class Missing:
    """The key has no row or object; its version counts as 0."""

    key: str
    era: int = 0

    @property
    def position(self) -> Position:
        return Position(self.era, 0)


@dataclass(frozen=True, slots=True)
class Committed:
    """All writes of the transaction took effect, with these new versions."""

    version_by_key: dict[str, int] = field(default_factory=dict)
    era: int = 0

    def position_of(self, key: str) -> Position:
        """Return the position of the write to a key."""
        return Position(self.era, self.version_by_key[key])


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written, because these keys had unexpected versions."""

    version_by_key: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stored:
    """The object is in the store, written by this call or by an equal earlier one."""

    name: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The service did not process the call; nothing was written."""

    detail: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The answer was lost, and the write may have taken effect; read it back."""

    detail: str


@dataclass(frozen=True, slots=True)
class VmEntry:
    """One VM in the platform's list; ``state`` is ``live`` or ``leaving``."""

    name: str
    state: str
    failure_domain: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs, which lags.

    The list was current at ``as_of_ms`` of the platform's wall clock.
    """

    entries: tuple[VmEntry, ...]
    as_of_ms: int
