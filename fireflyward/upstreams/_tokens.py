"""Tokens as this project counts them.

A real engine has a tokenizer per model; an adapter of such an engine replaces
this module. The stand-in's rule is four bytes of UTF-8 to a token.
"""

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 64


def count_tokens(text: str) -> int:
    """Return the number of tokens of ``text``.

    >>> count_tokens("nine char")
    3
    """
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def split_tokens(text: str) -> list[bytes]:
    """Return the tokens of ``text`` in order."""
    data = text.encode()
    return [
        data[start : start + BYTES_PER_TOKEN]
        for start in range(0, len(data), BYTES_PER_TOKEN)
    ]


def split_blocks(text: str) -> list[bytes]:
    """Return the tokens of each full block of ``text``, joined, in order."""
    data = text.encode()
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    return [
        data[start : start + size] for start in range(0, len(data) - size + 1, size)
    ]
