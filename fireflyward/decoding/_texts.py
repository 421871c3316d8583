"""Texts of other writers that go into headers, row keys and messages."""

import re
from typing import Annotated

import msgspec

# Names become part of row keys, which have at most this many bytes.
_MAX_NAME = 200
_HEADER_TEXT = r"\A[!-~]([ -~]*[!-~])?\Z"
_is_header_text = re.compile(_HEADER_TEXT).match

Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME)]
# A text without line breaks and other control characters.
HeaderText = Annotated[
    str, msgspec.Meta(max_length=_MAX_NAME, pattern=r"\A[^\x00-\x1f\x7f]*\Z")
]


def is_utf8(text: str) -> bool:
    r"""Return whether a text has no escaped bytes, so that it can be encoded.

    >>> is_utf8("caf\u00e9"), is_utf8("caf\udce9")
    (True, False)
    """
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_header_text(text: str) -> bool:
    r"""Return whether a text can be sent in a header and be read back unchanged.

    >>> is_header_text("i-7f3a91c2"), is_header_text("i\n"), is_header_text("é")
    (True, False, False)
    """
    return len(text) <= _MAX_NAME and _is_header_text(text) is not None
