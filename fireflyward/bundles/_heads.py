"""The rows that name the bundle in force and the accepted numbers."""

import logging

import msgspec

from fireflyward.backing import Row
from fireflyward.decoding import Count, Int64, decode_json

log = logging.getLogger("fireflyward.bundles")


class Head(msgspec.Struct, frozen=True):
    """The number in force, the digest of its statement, and who signed it.

    ``snapshot_number`` and ``snapshot_digest`` name the newest number of which a
    snapshot is stored; a starting node reads that and the changes after it.
    ``note`` is the author's remark on the change.
    """

    number: Count
    digest: str
    author: str = ""
    approver: str = ""
    accepted_wall_ms: Int64 = 0
    snapshot_number: Count = 0
    snapshot_digest: str = ""
    note: str = ""


def decode_head(row: Row) -> Head | None:
    """Decode a row; return None if another writer wrote a malformed one."""
    head = decode_json(row.value, Head)
    if head is None:
        log.warning("bundles: row %s version %d is unreadable", row.key, row.version)
    return head
