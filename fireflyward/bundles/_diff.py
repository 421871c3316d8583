"""Differences between two bundles, by meaning and not by line."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from ._bundle import Bundle
from ._parts import NOUN_BY_SECTION, TRUST

_SECTIONS = ("models", "services", "upstreams", "accounts")


class Difference(msgspec.Struct, frozen=True):
    """One thing that was added, removed or changed.

    ``entity`` names what differs, such as ``account:tower-team``. ``field`` is the
    path inside the entity; it is empty if the entity was added or removed.
    """

    entity: str
    field: str = ""
    before: str = ""
    after: str = ""

    @property
    def kind(self) -> str:
        if self.field:
            return "changed"
        return "removed" if self.before else "added"

    def __str__(self) -> str:
        if self.field:
            return f"{self.entity} {self.field}: {self.before} -> {self.after}"
        return f"{self.entity} {self.kind}"


def diff(old: Bundle | None, new: Bundle) -> tuple[Difference, ...]:
    """Return every difference, ordered by entity.

    The order of names in a list has no meaning in a bundle, so only names that
    were added or removed count as a difference.

    >>> from fireflyward.bundles import Bundle, Model
    >>> one = Bundle("d", 1, {"m": Model("v1")}, {}, {})
    >>> [str(item) for item in diff(one, Bundle("d", 2, {"m": Model("v2")}, {}, {}))]
    ['model:m version: v1 -> v2']
    """
    differences: list[Difference] = []
    for section in _SECTIONS:
        noun = NOUN_BY_SECTION[section]
        before = getattr(old, section) if old else {}
        differences += _section_diff(noun, before, getattr(new, section))
    differences += _section_diff(TRUST, old.trust if old else {}, new.trust)
    return tuple(differences)


def _section_diff(
    noun: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    old_table, new_table = dict(before.items()), dict(after.items())
    for name in sorted(old_table.keys() | new_table.keys()):
        entity = f"{noun}:{name}"
        old, new = old_table.get(name), new_table.get(name)
        if old == new:
            continue
        if old is None:
            yield Difference(entity, after="present")
        elif new is None:
            yield Difference(entity, before="present")
        else:
            yield from _field_diff(
                entity, "", msgspec.to_builtins(old), msgspec.to_builtins(new)
            )


def _field_diff(entity: str, path: str, old: Any, new: Any) -> Iterator[Difference]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            inner = f"{path}.{name}" if path else name
            yield from _field_diff(entity, inner, old.get(name), new.get(name))
    elif _comparable(old) != _comparable(new):
        yield Difference(entity, path, _format_value(old, new), _format_value(new, old))


def _comparable(value: Any) -> Any:
    return sorted(value) if isinstance(value, list | tuple) else value


def _format_value(value: Any, other: Any) -> str:
    """Format a value; of a list only the items that the other list lacks."""
    if value is None:
        return "none"
    if not isinstance(value, list | tuple):
        return msgspec.json.encode(value).decode().strip('"')
    own_items = [item for item in value if item not in (other or ())]
    if len(own_items) == len(value):
        return "[" + ", ".join(map(str, value)) + "]"
    return "[… " + ", ".join(map(str, own_items)) + "]" if own_items else "[…]"
