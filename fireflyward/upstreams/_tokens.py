"""Counts and splits the tokens of a text.

A real engine has a tokenizer for each model, and an adapter for such an engine
replaces this module. For the stand-in engine, four bytes of UTF-8 are one token.
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
    """Return the bytes of each full block of ``text``, in order."""
    data = text.encode()
    block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN
    return [
        data[start : start + block_bytes]
        for start in range(0, len(data) - block_bytes + 1, block_bytes)
    ]
