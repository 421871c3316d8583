"""Values that no sound writer sends: odd numbers, texts, addresses and JSON."""

import json

from hypothesis import strategies as st

NUMBERS = st.sampled_from(
    (0, -1, 1.5, 2**31, 2**53 + 1, 2**63 - 1, 2**63, 2**64, 2**70, -(2**63) - 1)
    + (1e16, 1e300, 1e308, -1e308, 10**400, float("inf"), float("nan"))
)
TEXTS = st.sampled_from(
    ("", " ", "\0", "a\r\nX-Tenant: b", "\u20ac", "\u00e9", "x" * 201, "x" * 100_000)
    + ("1" * 5_000, "\u00b2", "\u0663", "..", "nan", "inf", "-0", "1e308", "1_0")
)
ADDRESSES = st.sampled_from(
    ("10.0.0.1:99999", "10.0.0.1:" + "1" * 5_000, "..:80", "a\0b:80", "0.0.0.0:80")
    + ("h" * 300 + ":80", "\u00e9:80", "host.example:80", "[::1]:80", "10.0.0.1:-1")
)
_ITEMS = NUMBERS | TEXTS | ADDRESSES | st.none() | st.booleans()
VALUES = _ITEMS | st.lists(_ITEMS, max_size=3) | st.dictionaries(TEXTS, _ITEMS)
DEEP = st.sampled_from(
    (b"[" * 100_000, b'{"x":' * 100_000, b'{"x":' + b"[" * 900 + b"]" * 900 + b"}")
)
_BYTES = st.binary(max_size=40) | DEEP


def encode(value):
    """Return JSON; Python writes numbers that are none as words, which no one reads."""
    return json.dumps(value).encode()


@st.composite
def changed(draw, sound):
    """Return bytes of a decoded JSON value with odd values at some of its fields."""
    if draw(st.integers(0, 4)) == 0:
        return draw(_BYTES)
    copy = json.loads(json.dumps(sound))
    for _ in range(draw(st.integers(1, 3))):
        _change(draw, copy)
    return encode(copy)


def _change(draw, value):
    """Change one item of a map or list, at any depth."""
    keys = list(value) if isinstance(value, dict) else list(range(len(value)))
    key = draw(st.sampled_from(keys))
    item = value[key]
    if isinstance(item, dict | list) and item and draw(st.booleans()):
        _change(draw, item)
    elif isinstance(value, dict) and draw(st.integers(0, 5)) == 0:
        del value[key]
        value["unknown"] = item
    else:
        value[key] = draw(VALUES)
    if not value:
        value.update({"unknown": 1}) if isinstance(value, dict) else value.append(1)
