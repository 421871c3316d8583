"""Retention periods, by which records expire without synchronized clocks."""

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
    """Return the period in the table's row, or period 0 if the row is missing."""
    if isinstance(row, Missing):
        return Period()
    return Period(msgspec.json.decode(row.value, type=int), row.version)


def marker_key(period: int, name: str) -> str:
    """Return the key of a batch's marker, by which the sweep finds the batch.

    >>> marker_key(7, "entry-1-5")
    'runs/batches/00000007/08/entry-1-5'
    """
    shard = zlib.crc32(name.encode()) % SHARDS
    return f"{shard_prefix(period, shard)}{name}"


def shard_prefix(period: int, shard: int) -> str:
    """Return the key prefix of the markers in one shard of a period."""
    return f"runs/batches/{period:08d}/{shard:02x}/"
