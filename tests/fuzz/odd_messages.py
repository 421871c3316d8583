"""Messages of other nodes with any content that their structs can carry."""

import math

from hypothesis import strategies as st
from thriftpy2.thrift import TType

# Names and ids that the receiver knows are drawn often, or nothing would be applied.
_TEXTS = ("", "a", "m", "s", "plain", "engines", "v1", "changes", "whole", "events")
_NUMBERS = (0.0, -1.0, 3.5, 1e300, math.inf, math.nan)
_BITS = {TType.BYTE: 8, TType.I16: 16, TType.I32: 32, TType.I64: 64}


def messages(struct_type, known_ids=()):
    """Return a strategy for messages of a Thrift struct."""
    fields = struct_type.thrift_spec.values()
    return st.builds(
        struct_type,
        **{spec[1]: _field(spec, known_ids) for spec in fields},
    )


def _field(spec, known_ids):
    value = _values(spec[0], spec[2:-1], known_ids)
    return value if spec[-1] else st.none() | value


def _values(kind, rest, known_ids):
    if kind in _BITS:
        limit = 2 ** (_BITS[kind] - 1)
        edges = (0, 1, -1, limit - 1, -limit, *known_ids)
        usable = [number for number in edges if -limit <= number < limit]
        return st.sampled_from(usable) | st.integers(-limit, limit - 1)
    if kind is TType.BOOL:
        return st.booleans()
    if kind is TType.DOUBLE:
        return st.sampled_from(_NUMBERS) | st.floats()
    if kind is TType.STRING:
        return st.sampled_from(_TEXTS) | st.text(max_size=300)
    if kind is TType.BINARY:
        return st.binary(max_size=40)
    if kind is TType.STRUCT:
        return messages(rest[0], known_ids)
    if kind is TType.LIST:
        item, *of = rest[0] if isinstance(rest[0], tuple) else (rest[0],)
        return st.lists(_values(item, of, known_ids), max_size=4)
    raise TypeError(f"no values for fields of type {kind}")
