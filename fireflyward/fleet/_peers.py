"""Which nodes there are, and the key with which they know each other."""

import logging
import secrets

import msgspec

from fireflyward.aggregators import Member
from fireflyward.backing import Unavailable
from fireflyward.platform import StoreClient
from fireflyward.rendezvous import rendezvous_rank

log = logging.getLogger("fireflyward.peers")

_TABLE = "fireflyward-nodes"
_KEY_ROW = "key"
_NODE_PREFIX = "node/"
_KEY_BYTES = 32
_PERIOD_MS = 8_000
_SOON_MS = 700
_AT_ONCE_MS = 50


class NodeRow(msgspec.Struct, frozen=True):
    """What a node says of itself: where it is and where others reach it."""

    ip: str
    port: int
    failure_domain: str
    link_mbps: float


class PeerRegister:
    """Reads and writes the rows of nodes.

    Rows of nodes that are gone stay, so the number of nodes errs upwards and the
    nodes together stay within shared budgets. The key that seals messages between
    nodes is drawn by the first node and lies in the store: whoever may read the
    store is a node.
    """

    __slots__ = ("_name", "_own", "_rows", "_store", "key", "period_ms")

    def __init__(self, store: StoreClient, name: str) -> None:
        self._store = store
        self._name = name
        self._own: NodeRow | None = None
        self._rows: dict[str, NodeRow] = {}
        self.key: bytes | None = None
        self.period_ms = _SOON_MS

    def __len__(self) -> int:
        return len(self._rows.keys() | {self._name})

    def others(self) -> list[Member]:
        """Return the other nodes."""
        return [
            Member(name, row.failure_domain, (row.ip, row.port), row.link_mbps)
            for name, row in self._rows.items()
            if name != self._name and row != self._own
        ]

    def is_among_first(self, count: int, duty: str) -> bool:
        """Tell whether this node is among the first for a duty, alike everywhere.

        The widest links come first: whoever has a duty speaks to all nodes.
        """
        link_by_name = {name: row.link_mbps for name, row in self._rows.items()}
        if self._own is not None:
            link_by_name[self._name] = self._own.link_mbps
        ranked = sorted(
            link_by_name,
            key=lambda name: (-link_by_name[name], rendezvous_rank(duty, name)),
        )
        return self._name in ranked[:count]

    def announce(self, own: NodeRow) -> None:
        """Tell the others from the next reading on where this node is reached."""
        self._own = own
        self.period_ms = _AT_ONCE_MS

    async def refresh(self) -> None:
        """Read all rows, and write what of ours is missing."""
        found = await self._store.rows(_TABLE)
        if isinstance(found, Unavailable):
            self.period_ms = _SOON_MS
            return
        row_by_key = {row.key: row for row in found.rows}
        self._rows = {
            key.removeprefix(_NODE_PREFIX): msgspec.json.decode(row.value, type=NodeRow)
            for key, row in row_by_key.items()
            if key.startswith(_NODE_PREFIX)
        }
        if _KEY_ROW in row_by_key:
            self.key = row_by_key[_KEY_ROW].value
        is_complete = self._rows.get(self._name) == self._own and self.key is not None
        self.period_ms = _PERIOD_MS if is_complete else _SOON_MS
        if self.key is None:
            await self._write(_KEY_ROW, secrets.token_bytes(_KEY_BYTES), 0)
            self.period_ms = _AT_ONCE_MS
        if self._own is not None and self._rows.get(self._name) != self._own:
            own_key = _NODE_PREFIX + self._name
            known = row_by_key.get(own_key)
            value = msgspec.json.encode(self._own)
            await self._write(own_key, value, known.version if known else 0)

    async def _write(self, key: str, value: bytes, version: int) -> None:
        """Write a row once; whether it took effect the next reading tells."""
        result = await self._store.write(
            table=_TABLE, part="", expected={key: version}, puts={key: value}
        )
        log.info("peers: row %s: %s", key, type(result).__name__)
