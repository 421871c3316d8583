"""Numbers on the wire: bounds, limits, rates and sizes, with or without a fraction."""

from typing import Annotated

import msgspec

# Some deployments calculate a setting from a ratio and write 35.8 where others write
# 430. A field that accepted only integers would keep every process of such a
# deployment from starting. Text and negative numbers are still errors.
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0)]


def to_int(number: float) -> int:
    """Return a number without its fraction, so that limits are rounded to be stricter.

    >>> to_int(2400.5), to_int(430.0)
    (2400, 430)
    """
    return int(number)
