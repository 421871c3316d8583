"""The components of a node for requests that crash replicas."""

from collections.abc import Awaitable, Callable
from typing import Any

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.feeds import TableUpdate
from fireflyward.http1 import ConnectionPool, HttpConnection, NotConnected
from fireflyward.peers import PeerLink
from fireflyward.platform import StoreClient
from fireflyward.poison import PoisonTask
from fireflyward.quarantine import Quarantine
from fireflyward.replicas import ReplicaDirectory, ReplicaState
from fireflyward.supervision import Run


class CrashComponents:
    """Creates and connects what holds back whole requests and parts of prompts."""

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        store: StoreClient,
        table: str,
        node: Member,
        aggregators: Aggregators,
        poll_soon: Callable[[], None],
        connect: Callable[[ReplicaState], Awaitable[HttpConnection | NotConnected]],
    ) -> None:
        """``connect`` opens a new connection to a replica, by the path that works."""
        self.quarantine = Quarantine(
            clock=clock,
            pool=pool,
            directory=directory,
            store=store,
            table=table,
            node=node.name,
            peer_addresses=aggregators.all_addresses,
            poll_soon=poll_soon,
            connect=connect,
            on_crash=lambda replica: self.poison.on_crash(replica),
        )
        self.poison = PoisonTask(
            clock=clock,
            store=store,
            table=table,
            node=node,
            members=aggregators.all_members,
            counts_as_crash=self.quarantine.counts_as_crash,
            poll_soon=poll_soon,
        )

    def use(self, link: PeerLink) -> None:
        """Send and receive messages over a link from now on."""
        self.quarantine.use(link)
        self.poison.use(link)

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply changes of the table of nodes."""
        self.quarantine.on_table_update(update)
        self.poison.on_table_update(update)

    def runs(self) -> tuple[tuple[str, Run], ...]:
        """Return what to run until the node stops, with the names of the tasks."""
        return ("quarantine", self.quarantine.run), ("poison", self.poison.run)

    @property
    def tasks(self) -> list[Any]:
        """Return the tasks that are running besides ``runs``."""
        return [*self.quarantine.tasks, *self.poison.tasks]

    def gauges(self) -> dict[str, int]:
        """Return how much was in flight at crashes, and how much is held back."""
        return {
            "requests_cut_by_ends_total": self.quarantine.cut,
            "requests_held": self.quarantine.held,
            "prompts_cut_by_crashes_total": self.poison.cut,
            "prompt_parts_held": self.poison.held,
            "prompts_held_back_total": self.poison.rejected,
        }
