"""Reads bundles from TOML, with line numbers in the errors, and writes them."""

import difflib
import json
import re
import tomllib
import types
import typing
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from ._bundle import Bundle, BundleError
from ._checks import cross_errors

_HEADER = re.compile(r"^\s*\[\s*([^\[\]]+?)\s*\]\s*(#.*)?$")
_KEY = re.compile(r"""^\s*([A-Za-z0-9_\-."' ]+?)\s*=""")
_BARE = re.compile(r"^[A-Za-z0-9_-]+$")
_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")
_NAME_ALLOWED = "letters, digits, '.', '_' and '-', up to 100"
_SHOWN_CHARACTERS = 60
Path = tuple[str, ...]


def parse_bundle(text: str) -> Bundle | tuple[BundleError, ...]:
    """Read a bundle from TOML, checking types and references between its parts.

    All errors are returned, not only the first. Each has the line of its field, or of
    the surrounding table if the line of the field itself is not found.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return (BundleError("file", str(error), _line_of_message(str(error))),)
    line_by_path = _lines(text)
    errors = tuple(_type_errors(Bundle, table, ()))
    if errors:
        return tuple(_with_line(error, line_by_path) for error in errors)
    bundle = msgspec.convert(table, type=Bundle)
    errors = tuple(cross_errors(bundle))
    return tuple(_with_line(error, line_by_path) for error in errors) or bundle


def to_toml(bundle: Bundle) -> str:
    """Return a bundle as TOML, from which ``parse_bundle`` reads an equal bundle."""
    table = msgspec.to_builtins(_with_plain_accounts(bundle), order="sorted")
    return "\n".join(_table_lines(table, ())).strip() + "\n"


def _with_plain_accounts(bundle: Bundle) -> Bundle:
    return msgspec.structs.replace(bundle, accounts=dict(bundle.accounts))


def _type_errors(kind: Any, value: Any, path: Path) -> Iterator[BundleError]:
    kind = _without_metadata(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_errors(kind, value, path)
    elif _is_named_structs(kind) and isinstance(value, dict):
        for name, item in value.items():
            if not _NAME.match(name):
                yield _error(path, name, "is not a name", _NAME_ALLOWED)
            yield from _type_errors(typing.get_args(kind)[1], item, (*path, name))
    else:
        yield from _value_errors(kind, value, path)


def _struct_errors(kind: type, value: Any, path: Path) -> Iterator[BundleError]:
    if not isinstance(value, dict):
        yield _error(path, value, "is not a table", "a table")
        return
    field_by_name = {field.name: field for field in msgspec.structs.fields(kind)}
    for name in value.keys() - field_by_name.keys():
        close_matches = difflib.get_close_matches(name, field_by_name, 1)
        detail = "is not a field" + (
            f", perhaps {close_matches[0]!r}" if close_matches else ""
        )
        allowed = ", ".join(field_by_name)
        yield _error((*path, name), value[name], detail, allowed)
    for name, field in field_by_name.items():
        if name in value:
            yield from _field_errors(field, value[name], (*path, name))
        elif field.required:
            yield _error((*path, name), None, "is missing", _allowed(field.type))


def _field_errors(field: Any, value: Any, path: Path) -> Iterator[BundleError]:
    kind = _without_metadata(field.type)
    if _is_named_structs(kind) or isinstance(kind, type(msgspec.Struct)):
        yield from _type_errors(kind, value, path)
    else:
        yield from _value_errors(field.type, value, path)


def _value_errors(kind: Any, value: Any, path: Path) -> Iterator[BundleError]:
    try:
        msgspec.convert(value, type=kind)
    except msgspec.ValidationError:
        yield _error(path, value, "is not allowed", _allowed(kind))


def _error(path: Path, value: Any, detail: str, allowed: str) -> BundleError:
    shown = "" if value is None else repr(value)[:_SHOWN_CHARACTERS]
    return BundleError(".".join(path) or "file", detail, 0, shown, allowed)


def _without_metadata(kind: Any) -> Any:
    is_annotated = typing.get_origin(kind) is typing.Annotated
    return typing.get_args(kind)[0] if is_annotated else kind


def _is_named_structs(kind: Any) -> bool:
    arguments = typing.get_args(kind)
    origin = typing.get_origin(kind)
    is_mapping = isinstance(origin, type) and issubclass(origin, Mapping)
    return is_mapping and isinstance(arguments[1], type(msgspec.Struct))


def _allowed(kind: Any) -> str:
    """Describe the values that a field of this type may have."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated:
        return _allowed_by(arguments[0], arguments[1])
    if origin is typing.Literal:
        return ", ".join(arguments)
    if origin is tuple:
        return f"a list, each {_allowed(arguments[0])}"
    if origin is types.UnionType:
        return " or ".join(_allowed(part) for part in arguments)
    if isinstance(origin, type) and issubclass(origin, Mapping):
        return "a table"
    if isinstance(kind, type(msgspec.Struct)):
        return "a table"
    words = {str: "text", int: "a whole number", bool: "true or false"}
    return words.get(kind, "nothing")


def _allowed_by(kind: Any, meta: msgspec.Meta) -> str:
    if meta.pattern:
        return f"text like {meta.pattern}"
    if meta.le is not None:
        return f"{meta.ge} to {meta.le}"
    return f"{_allowed(kind)} of {meta.ge} or more"


def _lines(text: str) -> dict[Path, int]:
    """Map each table and key to its line; each line is parsed separately."""
    line_by_path: dict[Path, int] = {}
    table: Path = ()
    for number, line in enumerate(text.splitlines(), 1):
        if header := _HEADER.match(line):
            table = _path_of(header[1]) or table
            line_by_path.setdefault(table, number)
        elif key := _KEY.match(line):
            path = _path_of(key[1])
            line_by_path.setdefault((*table, *path), number)
    return line_by_path


def _path_of(dotted: str) -> Path:
    try:
        inner: Any = tomllib.loads(f"{dotted} = 0")
    except tomllib.TOMLDecodeError:
        return ()
    path = []
    while isinstance(inner, dict):
        ((name, inner),) = inner.items()
        path.append(name)
    return tuple(path)


def _with_line(error: BundleError, line_by_path: dict[Path, int]) -> BundleError:
    best: Path = ()
    for path in line_by_path:
        dotted = ".".join(path)
        is_prefix = error.field == dotted or error.field.startswith(dotted + ".")
        if is_prefix and len(path) > len(best):
            best = path
    line = line_by_path.get(best, 0)
    return BundleError(
        error.field, error.detail, line, error.value, error.allowed, error.code
    )


def _line_of_message(message: str) -> int:
    found = re.search(r"line (\d+)", message)
    return int(found[1]) if found else 0


def _table_lines(table: dict[str, Any], path: Path) -> Iterator[str]:
    inner = {name: value for name, value in table.items() if isinstance(value, dict)}
    plain = {name: value for name, value in table.items() if name not in inner}
    if path and (plain or not inner):
        yield ""
        yield f"[{'.'.join(_key(part) for part in path)}]"
    for name, value in plain.items():
        if value is not None:
            yield f"{_key(name)} = {_value(value)}"
    for name, value in inner.items():
        yield from _table_lines(value, (*path, name))


def _key(name: str) -> str:
    return name if _BARE.match(name) else json.dumps(name)


def _value(value: Any) -> str:
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_value(item) for item in value) + "]"
    return json.dumps(value, ensure_ascii=False)
