"""How a node joins the fleet: it finds the others, is listed and opens its link."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock, Standstills, within_ms
from fireflyward.deployment import FleetSettings
from fireflyward.feeds import FeedFollower, Pace, SharedTables, TableUpdate
from fireflyward.peers import Address, PeerCodec, PeerLink, new_incarnation
from fireflyward.streams import is_software_row
from fireflyward.supervision import describe_error

from ._paces import nodes_pace
from ._peers import MAX_LIST_AGE_MS, NODE_TABLE, NodeRegistry, NodeRow

log = logging.getLogger("fireflyward.peers")

# A node reads the tables from an aggregator, over the link between nodes. The link is
# normally open, and the other nodes are listed, some 300 ms after the start. After this
# timeout the node starts to read anyway, from the store if necessary.
_JOIN_TIMEOUT_MS = 1_500
_LINK_RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class _UnopenedLink:
    """A link that is not open yet, and what is called once it is."""

    link: PeerLink
    on_open: Callable[[], None]


class Joining:
    """Follows the table of nodes, and opens the link once the message key is known.

    ``on_nodes`` gets the names of all nodes after each read of the table. ``on_rows``
    gets each update of the table, for components that keep other rows in it.
    ``on_link`` prepares the link before it is started, and returns a function that is
    called once the link is open.
    """

    def __init__(
        self,
        settings: FleetSettings,
        *,
        clock: Clock,
        registry: NodeRegistry,
        tables: SharedTables,
        aggregators: Aggregators,
        on_nodes: Callable[[Collection[str]], None],
        on_rows: Callable[[TableUpdate], None],
        on_link: Callable[[PeerLink], Callable[[], None]],
        standstills: Standstills | None = None,
    ) -> None:
        self.link: PeerLink | None = None
        self._codec: PeerCodec | None = None
        self._unopened: _UnopenedLink | None = None
        self._has_link_failed = False
        self._settings = settings
        self._clock = clock
        self._standstills = standstills or Standstills(clock=clock)
        self._registry = registry
        self._aggregators = aggregators
        self._on_nodes = on_nodes
        self._on_rows = on_rows
        self._poll_requested = asyncio.Event()
        self._has_only_software = False
        self._on_link = on_link
        self._joined = asyncio.Event()
        self._follower = FeedFollower(
            NODE_TABLE,
            reader=tables,
            clock=clock,
            on_update=tables.caching_listener(
                NODE_TABLE, self._on_table_update, max_age_ms=MAX_LIST_AGE_MS
            ),
            pace=self._pace,
        )

    async def run(self) -> None:
        """Follow the table, and write the rows of this node that it lacks."""
        port = self._settings.peer_ports[0]
        if port:
            self._registry.set_own_row(self._own_row((self._settings.ip, port)))
        while True:
            if await self._follower.step():
                await self._apply_node_table()
            elif self._unopened is not None:
                await self._start_link(self._unopened)
            # A row of software says nothing of nodes, which may just be joining.
            if not self._has_only_software:
                await self._pause(self._pause_ms())
            self._has_only_software = False

    def poll_soon(self) -> None:
        """Read the table again at once, or after the read that is in flight."""
        self._poll_requested.set()

    async def run_after_joining(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run ``work`` once this node has joined, or after a timeout."""
        await within_ms(self._clock, _JOIN_TIMEOUT_MS, self._joined.wait())
        await work()

    async def _pause(self, pause_ms: int) -> None:
        await within_ms(self._clock, pause_ms, self._poll_requested.wait())
        self._poll_requested.clear()

    def _pause_ms(self) -> int:
        if self._unopened is None:
            return self._follower.pause_ms
        return min(_LINK_RETRY_MS, self._follower.pause_ms)

    def _on_table_update(self, update: TableUpdate) -> None:
        self._has_only_software = bool(update.rows) and all(
            is_software_row(row.key) for row in update.rows
        )
        self._registry.on_table_update(update)
        self._on_rows(update)

    def _pace(self) -> Pace:
        return nodes_pace(
            is_complete=self._registry.is_complete,
            is_shared=self._aggregators.are_needed,
        )

    async def _apply_node_table(self) -> None:
        self._on_nodes(self._registry.names())
        self._aggregators.set_members(self._registry.others())
        if self._registry.key is not None:
            await self._use_key(self._registry.key)
        await self._registry.write_missing(self._clock.now_ms())
        if self._registry.is_complete:
            self._joined.set()

    async def _use_key(self, key: bytes) -> None:
        """Open the link, or rotate its key if another key replaced the last one.

        The store lacks the key if it is restored from an older snapshot, and a node
        that starts before another one has written the key again creates a new one.
        """
        if self._codec is None:
            self._codec = PeerCodec((key,))
            self._unopened = self._make_link(self._codec)
        else:
            self._codec.rotate_key(key)
        if self._unopened is not None:
            await self._start_link(self._unopened)

    def _make_link(self, codec: PeerCodec) -> _UnopenedLink:
        link = PeerLink(
            node_name=self._settings.node,
            incarnation=new_incarnation(self._clock),
            codec=codec,
            host=self._settings.ip,
            port=self._settings.peer_ports[0],
            has_backlog=lambda: self._standstills.has_backlog(self._clock.now_ms()),
            allows_names=False,
        )
        return _UnopenedLink(link, self._on_link(link))

    async def _start_link(self, unopened: _UnopenedLink) -> None:
        """Open the link, or leave it to be opened after the next read of the table.

        Without it the node serves by what the store tells, but has no news of others.
        """
        try:
            await unopened.link.start()
        except OSError as error:
            if not self._has_link_failed:
                address = "{}:{}".format(*unopened.link.address)
                log.error(
                    "peers: cannot listen at %s, will be tried again: %s",
                    address,
                    describe_error(error),
                )
            self._has_link_failed = True
            return
        if self._has_link_failed:
            log.info("peers: the link to other nodes is open")
        self._unopened = None
        self.link = unopened.link
        self._registry.set_own_row(self._own_row(unopened.link.address))
        unopened.on_open()

    def _own_row(self, address: Address) -> NodeRow:
        settings = self._settings
        return NodeRow(*address, settings.failure_domain, settings.link_mbps)
