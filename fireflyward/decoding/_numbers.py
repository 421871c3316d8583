"""Numbers of other writers, bounded so that every use of them is exact.

Messages between nodes carry integers of 64 bits, and durations and counts of requests
or tokens in 32 bits. A larger one could be decoded here and fail much later, in a task
that packs it.
"""

import re
from typing import Annotated

import msgspec

MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1
# Every integer up to this is exact as a float, and as seconds it fits into 64 bits of
# milliseconds.
_MAX_NUMBER = 2**53
_MAX_DIGITS = 9
_MAX_LONG_DIGITS = 18
_DECIMAL = re.compile(
    rf"[0-9]{{1,{_MAX_DIGITS}}}(\.[0-9]{{1,{_MAX_DIGITS}}})?"
    rf"|\.[0-9]{{1,{_MAX_DIGITS}}}"
)

Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=MAX_INT64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
Int32Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT32)]

# Some deployments calculate a setting from a ratio and write 35.8 where others write
# 430. A field that accepted only integers would keep every process of such a
# deployment from starting. Text and negative numbers are still errors.
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
BoundedNumber = Annotated[float, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
SmallNumber = Annotated[float, msgspec.Meta(ge=0, le=MAX_INT32)]
Port = Annotated[float, msgspec.Meta(ge=0, le=65_535)]


def to_int(number: float) -> int:
    """Return a number without its fraction, so that limits are rounded to be stricter.

    >>> to_int(2400.5), to_int(430.0)
    (2400, 430)
    """
    return int(number)


def whole_number(text: str) -> int | None:
    """Return the value of an unsigned whole number in a header, None if it is none.

    >>> whole_number(" 12 "), whole_number("-1"), whole_number("9" * 5_000)
    (12, None, None)
    """
    return _digits(text.strip(), _MAX_DIGITS)


def long_number(text: str) -> int | None:
    """Return the value of an unsigned number that fits into 64 bits, as above.

    >>> long_number("1764700000000"), long_number("9" * 19)
    (1764700000000, None)
    """
    return _digits(text.strip(), _MAX_LONG_DIGITS)


def decimal(text: str) -> float | None:
    """Return the value of an unsigned decimal number in a header, None if it is none.

    >>> decimal(" 4.5 "), decimal("nan"), decimal("-1")
    (4.5, None, None)
    """
    text = text.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def _digits(text: str, max_digits: int) -> int | None:
    is_number = text.isascii() and text.isdigit() and len(text) <= max_digits
    return int(text) if is_number else None
