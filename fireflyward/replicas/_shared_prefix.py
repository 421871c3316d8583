"""The part of a prompt that runs at a replica may share in its memory."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SharedPrefix:
    """The part of a prompt that other runs at a replica may have in memory already.

    ``key`` differs between weights and between accounts whose caches are isolated.
    """

    key: str
    tokens: int
