"""Generates Python structs for the Thrift definitions: ``python -m fireflyward.peers``.

Developers edit the definitions; nodes import only the generated modules. Parsing the
definitions at every start took 190 of 850 ms of processor time for each node, and all
nodes of a fleet may start at once.
"""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.thrift import TType

_PACKAGE = Path(__file__).parents[1]


def find_definitions() -> list[Path]:
    """Return all Thrift files of the package."""
    return sorted(_PACKAGE.rglob("*.thrift"))


def structs_path(definition: Path) -> Path:
    """Return the path of the module generated from a definition.

    >>> structs_path(Path("feeds/feeds.thrift")).as_posix()
    'feeds/_feeds_structs.py'
    """
    return definition.with_name(f"_{definition.stem}_structs.py")


def generate_source(definition: Path) -> str:
    """Generate the Python source of the structs of a definition."""
    name = f"{definition.stem}_thrift"
    module = thriftpy2.load(str(definition), module_name=name)
    structs = [
        "\n".join(_class_lines(struct)) for struct in module.__thrift_meta__["structs"]
    ]
    header = (
        f'"""Structs of {definition.name}, written by ``make structs``."""\n\n'
        "from typing import Any\n\n"
        "from thriftpy2.thrift import TPayload, TType\n"
    )
    return "\n\n\n".join([header.rstrip("\n"), *structs]) + "\n"


def _class_lines(struct: type) -> Iterator[str]:
    defaults = struct.default_spec
    yield f"class {struct.__name__}(TPayload):"
    yield "    thrift_spec = {"
    for number, spec in struct.thrift_spec.items():
        yield f"        {number}: {_field_source(spec)},"
    yield "    }"
    yield ""
    yield "    def __init__("
    yield "        self,"
    for name, value in defaults:
        yield f"        {name}: Any = {value!r},"
    yield "    ) -> None:"
    for name, _ in defaults:
        yield f"        self.{name} = {name}"


def _field_source(spec: tuple[Any, ...]) -> str:
    kind, name, *inner, is_required = spec
    parts = [
        _type_source(kind),
        f'"{name}"',
        *map(_inner_type_source, inner),
        str(is_required),
    ]
    return f"({', '.join(parts)})"


def _inner_type_source(inner: Any) -> str:
    if isinstance(inner, type):
        return inner.__name__
    if isinstance(inner, tuple):
        kind, of = inner
        return f"({_type_source(kind)}, {_inner_type_source(of)})"
    return _type_source(inner)


def _type_source(kind: int) -> str:
    return f"TType.{TType._VALUES_TO_NAMES[kind]}"


def main() -> int:
    """Generate all modules; return 0."""
    for definition in find_definitions():
        structs_path(definition).write_text(generate_source(definition))
    return 0


if __name__ == "__main__":
    sys.exit(main())
