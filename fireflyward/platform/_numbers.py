"""Numbers on the wire: bounds, limits, rates and sizes, whole or not."""

from typing import Annotated

import msgspec

# A figure that is worked out from a ratio comes as 35.8 where another deployment has
# 430. A field that took whole numbers only would keep every process of such a
# deployment from starting. Text and negative numbers still are errors.
Figure = Annotated[float, msgspec.Meta(ge=0)]


def whole(figure: float) -> int:
    """Return a figure without its fraction; limits so err to the strict side.

    >>> whole(2400.5), whole(430.0)
    (2400, 430)
    """
    return int(figure)
