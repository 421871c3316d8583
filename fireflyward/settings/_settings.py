"""The declaration of a setting, and the checked values of a process."""

import argparse
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

ENVIRONMENT_PREFIX = "FIREFLYWARD_"
_SECRET_PLACEHOLDER = "(secret, set)"


@dataclass(frozen=True, slots=True)
class InvalidSetting:
    """An invalid value: the setting, the given text and what is allowed."""

    name: str
    value: str
    allowed: str
    source: str

    def __str__(self) -> str:
        return (
            f"setting {self.name} from {self.source}: "
            f"{self.value!r} is not allowed; allowed: {self.allowed}"
        )


@dataclass(frozen=True, slots=True)
class Setting:
    """The declaration of one setting.

    ``parse`` converts the text to a value and raises ``ValueError`` for a text that
    is not allowed; ``allowed`` describes the allowed texts in words. A setting whose
    ``default`` is None must be given.
    """

    name: str
    default: str | None
    parse: Callable[[str], Any]
    allowed: str
    help: str
    secret: bool = False

    @property
    def flag(self) -> str:
        return "--" + self.name.replace("_", "-")

    @property
    def shown_default(self) -> str:
        if self.default is None:
            return "must be given"
        return self.default or "none"

    @property
    def variable(self) -> str:
        return ENVIRONMENT_PREFIX + self.name.upper()


class Settings:
    """Checked values by name, each with its source.

    >>> from fireflyward.settings import SERVE_SETTINGS, load
    >>> keys = {"kept_key": "2f" * 32, "peer_keys": "5c" * 32}
    >>> load(SERVE_SETTINGS, keys, {"FIREFLYWARD_PORT": "0"})["port"]
    0
    """

    __slots__ = ("_declared_by_name", "_source_by_name", "_value_by_name")

    def __init__(
        self,
        declared_by_name: Mapping[str, Setting],
        value_by_name: Mapping[str, Any],
        source_by_name: Mapping[str, str],
    ) -> None:
        self._declared_by_name = dict(declared_by_name)
        self._value_by_name = dict(value_by_name)
        self._source_by_name = dict(source_by_name)

    def __getitem__(self, name: str) -> Any:
        return self._value_by_name[name]

    def __repr__(self) -> str:
        return f"Settings({', '.join(sorted(self._value_by_name))})"

    def rows(self) -> list[tuple[str, str, str]]:
        """Return the name, displayed value and source of each; secrets are hidden."""
        return [
            (name, self._format_value(name), self._source_by_name[name])
            for name in sorted(self._value_by_name)
        ]

    def _format_value(self, name: str) -> str:
        value = self._value_by_name[name]
        if self._declared_by_name[name].secret:
            return _SECRET_PLACEHOLDER if value else "(secret, not set)"
        if isinstance(value, tuple):
            return ",".join(str(item) for item in value)
        return str(value)


def add_flags(parser: argparse.ArgumentParser, declared: tuple[Setting, ...]) -> None:
    """Add a flag for each setting to ``parser``; its help names the variable."""
    for setting in declared:
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            default=None,
            metavar="VALUE",
            help=f"{setting.help} (allowed: {setting.allowed}; "
            f"default: {setting.shown_default}; "
            f"variable: {setting.variable})".replace("%", "%%"),
        )
