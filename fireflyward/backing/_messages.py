"""Results of calls to the platform, as tagged values."""

from dataclasses import dataclass, field

from ._position import Position


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table: ``version`` grows with every write to it in an era."""

    key: str
    value: bytes
    version: int
    era: int = 0

    @property
    def position(self) -> Position:
        return Position(self.era, self.version)


@dataclass(frozen=True, slots=True)
class Missing:
    """There is nothing under this key; its version counts as 0."""

    key: str
    era: int = 0

    @property
    def position(self) -> Position:
        return Position(self.era, 0)


@dataclass(frozen=True, slots=True)
class Committed:
    """Every write of the transaction took effect, with these new versions."""

    version_by_key: dict[str, int] = field(default_factory=dict)
    era: int = 0

    def position_of(self, key: str) -> Position:
        """Return where a key was written."""
        return Position(self.era, self.version_by_key[key])


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written: these keys had other versions than were expected."""

    version_by_key: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stored:
    """The object is in the store, by this call or by an equal earlier one."""

    name: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The service did not take the call; nothing was written."""

    detail: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The answer was lost; the write may have taken effect. Read back to know."""

    detail: str


@dataclass(frozen=True, slots=True)
class VmEntry:
    """One VM of the platform's list: ``state`` is ``live`` or ``leaving``."""

    name: str
    state: str
    failure_domain: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class VmList:
    """The list as of ``as_of_ms`` (wall clock of the platform); it lags."""

    entries: tuple[VmEntry, ...]
    as_of_ms: int
