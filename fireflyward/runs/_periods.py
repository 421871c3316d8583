"""Retention periods: how records grow old without a clock that nodes share."""

import zlib
from dataclasses import dataclass

import msgspec

from fireflyward.backing import Missing, Row

PERIOD_KEY = "runs/period"
SHARDS = 256


@dataclass(frozen=True, slots=True)
class Period:
    """The current period and the version of its row."""

    number: int = 0
    version: int = 0


def period_of(row: Row | Missing) -> Period:
    """Return the period that the table's row names; it starts with 0."""
    if isinstance(row, Missing):
        return Period()
    return Period(msgspec.json.decode(row.value, type=int), row.version)


def marker_key(period: int, name: str) -> str:
    """Return the key under which a batch is filed for the sweep.

    >>> marker_key(7, "entry-1-5")
    'runs/batches/00000007/08/entry-1-5'
    """
    shard = zlib.crc32(name.encode()) % SHARDS
    return f"{shard_prefix(period, shard)}{name}"


def shard_prefix(period: int, shard: int) -> str:
    """Return the prefix of the batches of one shard of a period."""
    return f"runs/batches/{period:08d}/{shard:02x}/"
