"""Writes Python structs for each Thrift definition: ``python -m fireflyward.peers``.

The definitions are what a newcomer reads and changes; what is written here is what
runs. Parsing them at every start took 190 of 850 ms of processor time, which a fleet
pays for each node that starts, and all nodes may start at once.
"""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.thrift import TType

_PACKAGE = Path(__file__).parents[1]


def definitions() -> list[Path]:
    """Return the Thrift files of the package."""
    return sorted(_PACKAGE.rglob("*.thrift"))


def written_for(definition: Path) -> Path:
    """Return where the structs of a definition stand.

    >>> written_for(Path("feeds/feeds.thrift")).as_posix()
    'feeds/_feeds_structs.py'
    """
    return definition.with_name(f"_{definition.stem}_structs.py")


def source_of(definition: Path) -> str:
    """Return the Python source for the structs of a definition."""
    name = f"{definition.stem}_thrift"
    module = thriftpy2.load(str(definition), module_name=name)
    structs = [
        "\n".join(_lines(struct)) for struct in module.__thrift_meta__["structs"]
    ]
    head = (
        f'"""Structs of {definition.name}, written by ``make structs``."""\n\n'
        "from typing import Any\n\n"
        "from thriftpy2.thrift import TPayload, TType\n"
    )
    return "\n\n\n".join([head.rstrip("\n"), *structs]) + "\n"


def _lines(struct: type) -> Iterator[str]:
    defaults = struct.default_spec
    yield f"class {struct.__name__}(TPayload):"
    yield "    thrift_spec = {"
    for number, spec in struct.thrift_spec.items():
        yield f"        {number}: {_spec(spec)},"
    yield "    }"
    yield ""
    yield "    def __init__("
    yield "        self,"
    for name, value in defaults:
        yield f"        {name}: Any = {value!r},"
    yield "    ) -> None:"
    for name, _ in defaults:
        yield f"        self.{name} = {name}"


def _spec(spec: tuple[Any, ...]) -> str:
    kind, name, *inner, is_required = spec
    parts = [_kind(kind), f'"{name}"', *map(_inner, inner), str(is_required)]
    return f"({', '.join(parts)})"


def _inner(inner: Any) -> str:
    if isinstance(inner, type):
        return inner.__name__
    if isinstance(inner, tuple):
        kind, of = inner
        return f"({_kind(kind)}, {_inner(of)})"
    return _kind(inner)


def _kind(kind: int) -> str:
    return f"TType.{TType._VALUES_TO_NAMES[kind]}"


def main() -> int:
    """Write all; return 0."""
    for definition in definitions():
        written_for(definition).write_text(source_of(definition))
    return 0


if __name__ == "__main__":
    sys.exit(main())
