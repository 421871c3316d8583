"""The registry of nodes, with the key that seals the messages between them."""

import logging
import secrets

import msgspec

from fireflyward.aggregators import Member
from fireflyward.backing import Committed, Position
from fireflyward.decoding import IPv4, Name, NonNegativeNumber, PeerPort, decode_json
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.platform import StoreClient
from fireflyward.rendezvous import rendezvous_rank

log = logging.getLogger("fireflyward.peers")

NODE_TABLE = "fireflyward-nodes"
_KEY_ROW = "key"
_NODE_PREFIX = "node/"
_KEY_BYTES = 32
# A node reads the list from the store if a cached list is older. Only a few nodes start
# or stop within this time, and nodes that do not respond are skipped.
MAX_LIST_AGE_MS = 8_000
# The first of the listed nodes creates the key. The others create one themselves if
# there is none after this time, since that node may have exited before it could.
_KEY_CREATION_TIMEOUT_MS = 1_500
# A row that this node wrote appears in its reads after one or two pauses of the feed.
# Writing it again before that would be a useless call.
_REWRITE_DELAY_MS = 2_000


def node_row_key(name: str) -> str:
    """Return the key of a node's own row.

    >>> node_row_key("entry-1")
    'node/entry-1'
    """
    return _NODE_PREFIX + name


class NodeRow(msgspec.Struct, frozen=True):
    """A node's own row: its address, its failure domain and its link's bandwidth."""

    ip: IPv4
    port: PeerPort
    failure_domain: Name
    link_mbps: NonNegativeNumber


class NodeRegistry:
    """Follows the table of nodes, and writes the rows of this node that it lacks.

    A node that stops leaves its row, and ``end_rows`` deletes it if the node does not
    come back. Until then the number of nodes is too high, and all nodes together stay
    within shared budgets. One node creates the key that seals the messages between
    nodes and stores it in the table: every process that may read the store counts as a
    node.

    If the store is restored from an older snapshot, each node writes its own row again,
    and any node that has the key writes the key. Until then the known nodes stay in the
    registry, because each node's part of a shared budget depends on their number.
    """

    __slots__ = (
        "_era",
        "_has_read",
        "_key_missing_since_ms",
        "_name",
        "_own",
        "_ranked_by_duty",
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
        self._ranked_by_duty: dict[str, list[str]] = {}
        self._has_read = False
        self._key_missing_since_ms: int | None = None
        self.key: bytes | None = None

    def names(self) -> frozenset[str]:
        """Return the names of all nodes, including this one."""
        return frozenset(self._row_by_name.keys() | {self._name})

    @property
    def is_complete(self) -> bool:
        """Return whether the key is known and this node is listed in the table."""
        return (
            self.key is not None
            and self._is_listed(_KEY_ROW)
            and self._is_listed(node_row_key(self._name))
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
        """Return whether this node is among the first for a duty; all nodes agree.

        Before the table has been read this is not known, and False. Nodes of the list
        may have gone, so a duty must not depend on the first nodes alone.
        """
        return self._has_read and self._name in self._ranked(duty)[:count]

    def place(self, duty: str) -> float:
        """Return this node's place for a duty, from 0 for the first to below 1.

        Before the table has been read this is 1.
        """
        ranked = self._ranked(duty)
        if not self._has_read or self._name not in ranked:
            return 1.0
        return ranked.index(self._name) / len(ranked)

    def addresses_of_first(self, count: int, duty: str) -> list[tuple[str, int]]:
        """Return the addresses of the first nodes for a duty, except this one."""
        return self._addresses(self._ranked(duty)[:count])

    def addresses_after_first(self, count: int, duty: str) -> list[tuple[str, int]]:
        """Return the addresses of all but the first nodes, except this one."""
        return self._addresses(self._ranked(duty)[count:])

    def listed(self) -> dict[str, tuple[str, int]]:
        """Return the addresses of all listed nodes except this one, by name."""
        return {
            name: (row.ip, row.port)
            for name, row in self._row_by_name.items()
            if name != self._name
        }

    async def end_rows(self, names: list[str]) -> bool:
        """Delete the rows of nodes that have gone; return whether this succeeded.

        A row that was written since it was read stays, as the others do then.
        """
        keys = [node_row_key(name) for name in names]
        expected = {
            key: self._position_by_key[key]
            for key in keys
            if key in self._position_by_key
        }
        if not expected:
            return False
        result = await self._store.write(
            table=NODE_TABLE, part="", expected=expected, puts={}, deletes=expected
        )
        log.info(
            "peers: rows of nodes that do not answer, %s, are deleted: %s",
            ", ".join(names),
            type(result).__name__,
        )
        return isinstance(result, Committed)

    def set_own_row(self, own: NodeRow) -> None:
        """Set the row that the next write publishes for this node."""
        self._own = own
        self._ranked_by_duty.clear()

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply an update of the table."""
        self._era = update.position.era
        self._has_read = True
        if update.is_snapshot:
            self._position_by_key.clear()
            if update.is_new_era:
                self._written_ms_by_key.clear()
                self._key_missing_since_ms = None
            else:
                self._row_by_name.clear()
        for row in update.rows:
            self._apply_row(row)
        self._ranked_by_duty.clear()

    async def write_missing(self, now_ms: int) -> None:
        """Write this node's row if it is missing, and the key if that is its task.

        Only the table shows whether a write took effect. A write whose response was
        lost is repeated with the same condition.
        """
        own_key = node_row_key(self._name)
        is_row_current = self._row_by_name.get(self._name) == self._own
        if self._own is not None and not (is_row_current and self._is_listed(own_key)):
            await self._write(now_ms, own_key, msgspec.json.encode(self._own))
        lacks_key = self.key is None or not self._is_listed(_KEY_ROW)
        if lacks_key and self._should_create_key(now_ms):
            key = self.key or secrets.token_bytes(_KEY_BYTES)
            await self._write(now_ms, _KEY_ROW, key)

    def _is_listed(self, key: str) -> bool:
        """Return whether the table had a row at the last read."""
        return key in self._position_by_key

    def _ranked(self, duty: str) -> list[str]:
        """Return the names of all nodes in their order for a duty."""
        ranked = self._ranked_by_duty.get(duty)
        if ranked is None:
            ranked = self._ranked_by_duty[duty] = self._rank_nodes(duty)
        return ranked

    def _addresses(self, names: list[str]) -> list[tuple[str, int]]:
        rows = [self._row_by_name.get(name) for name in names if name != self._name]
        return [(row.ip, row.port) for row in rows if row is not None]

    def _rank_nodes(self, duty: str) -> list[str]:
        """Return the nodes in their order for a duty, those with fast links first.

        A node with a duty exchanges messages with all nodes.
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
        if row.is_restored and name != self._name and name in self._row_by_name:
            # The store lost the newer row of that node, which will write it again.
            return
        self._row_by_name.pop(name, None)
        if row.is_deleted:
            return
        decoded = decode_json(row.value, NodeRow)
        if decoded is None:
            # Another writer wrote this row. The other rows are still used.
            log.error("peers: row %s cannot be decoded", row.key)
            return
        self._row_by_name[name] = decoded

    def _apply_key(self, row: TableRow) -> None:
        if len(row.value) == _KEY_BYTES:
            self.key = row.value
        elif not row.is_deleted:
            # No node created this key, so its unknown writer could forge messages.
            log.error("peers: the key in the table was not created by a node")

    def _should_create_key(self, now_ms: int) -> bool:
        """Return whether this node is to create the key now.

        Otherwise two hundred nodes that start at once would all write the key, and the
        store accepts only a limited number of writes per second to one part.
        """
        if self._key_missing_since_ms is None:
            self._key_missing_since_ms = now_ms
        if now_ms - self._key_missing_since_ms >= _KEY_CREATION_TIMEOUT_MS:
            return True
        listed = self._name in self._row_by_name or self._own is None
        return listed and self.is_among_first(1, _KEY_ROW)

    async def _write(self, now_ms: int, key: str, value: bytes) -> None:
        """Write a row if it is as last read, unless this node has just written it."""
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
