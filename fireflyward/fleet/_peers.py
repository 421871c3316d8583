"""Which nodes there are, and the key with which they know each other."""

import logging
import secrets

import msgspec

from fireflyward.aggregators import Member
from fireflyward.backing import Committed, Position
from fireflyward.feeds import Followed, TableRow
from fireflyward.platform import StoreClient
from fireflyward.rendezvous import rendezvous_rank

log = logging.getLogger("fireflyward.peers")

NODE_TABLE = "fireflyward-nodes"
_KEY_ROW = "key"
_NODE_PREFIX = "node/"
_KEY_BYTES = 32
# A list that is older than this is read from the store; nodes are few that come and
# go meanwhile, and whoever does not answer is passed over.
MAX_LIST_AGE_MS = 8_000
# The first of the nodes that are listed draws the key. The others do so themselves if
# there is none after this long: that node may have ended before it could.
_KEY_CREATION_TIMEOUT_MS = 1_500
# What this node wrote shows up in what it reads after a pause of the feed or two; until
# then it is not written again, which would be a call that only finds its own row.
_REWRITE_DELAY_MS = 2_000


class NodeRow(msgspec.Struct, frozen=True):
    """What a node says of itself: where it is and where others reach it."""

    ip: str
    port: int
    failure_domain: str
    link_mbps: float


class NodeRegistry:
    """Follows the table of nodes, and writes what of ours is missing there.

    Rows of nodes that are gone stay, so the number of nodes errs upwards and the
    nodes together stay within shared budgets. The key that seals messages between
    nodes is drawn by one node and lies in the store: whoever may read the store is
    a node.

    Rows that an older copy of the store lacks are written again, each node's by itself
    and the key by whoever knows it. Until then the nodes hold, since parts of shared
    budgets go by their number.
    """

    __slots__ = (
        "_era",
        "_first_by_duty",
        "_key_missing_since_ms",
        "_name",
        "_own",
        "_row_by_name",
        "_store",
        "_position_by_key",
        "_written_ms_by_key",
        "key",
    )

    def __init__(self, store: StoreClient, name: str) -> None:
        self._store = store
        self._name = name
        self._own: NodeRow | None = None
        self._row_by_name: dict[str, NodeRow] = {}
        self._position_by_key: dict[str, Position] = {}
        self._era = 0
        self._written_ms_by_key: dict[str, int] = {}
        self._first_by_duty: dict[str, list[str]] = {}
        self._key_missing_since_ms: int | None = None
        self.key: bytes | None = None

    def names(self) -> frozenset[str]:
        """Return the names of all nodes, this one's too."""
        return frozenset(self._row_by_name.keys() | {self._name})

    @property
    def is_complete(self) -> bool:
        """Tell whether the key is known and this node stands in the table."""
        return (
            self.key is not None
            and self._is_listed(_KEY_ROW)
            and self._is_listed(_NODE_PREFIX + self._name)
            and self._row_by_name.get(self._name) == self._own
        )

    def others(self) -> list[Member]:
        """Return the other nodes."""
        return [
            Member(name, row.failure_domain, (row.ip, row.port), row.link_mbps)
            for name, row in self._row_by_name.items()
            if name != self._name and row != self._own
        ]

    def is_among_first(self, count: int, duty: str) -> bool:
        """Tell whether this node is among the first for a duty, alike everywhere."""
        ranked = self._first_by_duty.get(duty)
        if ranked is None:
            ranked = self._first_by_duty[duty] = self._rank_nodes(duty)
        return self._name in ranked[:count]

    def addresses_of_first(self, count: int, duty: str) -> list[tuple[str, int]]:
        """Return where the first nodes for a duty are reached, this one left out."""
        self.is_among_first(count, duty)
        rows = [
            self._row_by_name.get(name)
            for name in self._first_by_duty[duty][:count]
            if name != self._name
        ]
        return [(row.ip, row.port) for row in rows if row is not None]

    def announce(self, own: NodeRow) -> None:
        """Tell the others from the next write on where this node is reached."""
        self._own = own
        self._first_by_duty.clear()

    def on_table_update(self, update: Followed) -> None:
        """Take what changed in the table."""
        self._era = update.position.era
        if update.is_whole:
            self._position_by_key.clear()
            if update.is_new_era:
                self._written_ms_by_key.clear()
                self._key_missing_since_ms = None
            else:
                self._row_by_name.clear()
        for row in update.rows:
            self._apply_row(row)
        self._first_by_duty.clear()

    async def write_missing(self, now_ms: int) -> None:
        """Write this node's row if it is missing, and the key if that is its task.

        Whether a write took effect is told by the table: one whose answer is lost
        is made again with the same condition.
        """
        own_key = _NODE_PREFIX + self._name
        is_told = self._row_by_name.get(self._name) == self._own
        if self._own is not None and not (is_told and self._is_listed(own_key)):
            await self._write(now_ms, own_key, msgspec.json.encode(self._own))
        lacks_key = self.key is None or not self._is_listed(_KEY_ROW)
        if lacks_key and self._is_to_create_key(now_ms):
            key = self.key or secrets.token_bytes(_KEY_BYTES)
            await self._write(now_ms, _KEY_ROW, key)

    def _is_listed(self, key: str) -> bool:
        """Tell whether the table has a row, by what was read last."""
        return key in self._position_by_key

    def _rank_nodes(self, duty: str) -> list[str]:
        """Return the nodes for a duty, the widest links first.

        Whoever has a duty speaks to all nodes.
        """
        link_by_name = {name: row.link_mbps for name, row in self._row_by_name.items()}
        if self._own is not None:
            link_by_name[self._name] = self._own.link_mbps
        return sorted(
            link_by_name,
            key=lambda name: (-link_by_name[name], rendezvous_rank(duty, name)),
        )

    def _apply_row(self, row: TableRow) -> None:
        if row.is_deleted:
            self._position_by_key.pop(row.key, None)
        else:
            self._position_by_key[row.key] = row.position
        if row.key == _KEY_ROW:
            self._apply_key(row)
            return
        name = row.key.removeprefix(_NODE_PREFIX)
        if name == row.key:
            return
        if row.is_copied and name != self._name and name in self._row_by_name:
            # What that node wrote later was lost, and comes again.
            return
        self._row_by_name.pop(name, None)
        if row.is_deleted:
            return
        try:
            self._row_by_name[name] = msgspec.json.decode(row.value, type=NodeRow)
        except msgspec.MsgspecError as error:
            # Another writer's row names no node; the others hold.
            log.error("peers: row %s is not understood: %s", row.key, error)

    def _apply_key(self, row: TableRow) -> None:
        if len(row.value) == _KEY_BYTES:
            self.key = row.value
        elif not row.is_deleted:
            # Messages sealed with it could be made by whoever wrote it.
            log.error("peers: the key in the table is not one that a node drew")

    def _is_to_create_key(self, now_ms: int) -> bool:
        """Tell whether this node is to draw the key now.

        Two hundred nodes that start at once would else all write it, and the
        store takes so many writes to one part in a second.
        """
        if self._key_missing_since_ms is None:
            self._key_missing_since_ms = now_ms
        if now_ms - self._key_missing_since_ms >= _KEY_CREATION_TIMEOUT_MS:
            return True
        listed = self._name in self._row_by_name or self._own is None
        return listed and self.is_among_first(1, _KEY_ROW)

    async def _write(self, now_ms: int, key: str, value: bytes) -> None:
        """Write a row once, on the condition that it is as it was last read."""
        written_ms = self._written_ms_by_key.get(key)
        if written_ms is not None and now_ms - written_ms < _REWRITE_DELAY_MS:
            return
        read = self._position_by_key.get(key, Position(self._era, 0))
        result = await self._store.write(
            table=NODE_TABLE, part="", expected={key: read}, puts={key: value}
        )
        if isinstance(result, Committed):
            self._written_ms_by_key[key] = now_ms
        log.info("peers: row %s: %s", key, type(result).__name__)
