"""The administration API of a node, served on a port of its own."""

import logging

from fireflyward.admin import (
    BundleAdmin,
    ProposalStore,
    RequestAuthenticator,
    build_admin_app,
)
from fireflyward.backing import Objects, Table, Weights
from fireflyward.bundles import BundleStore, root_people
from fireflyward.clock import Clock
from fireflyward.inbound import InboundAppRunner
from fireflyward.settings import Settings

from ._bundle_duty import BundleDuty
from ._connection_bounds import operator_bounds

log = logging.getLogger("fireflyward.admin")


class AdminDuty:
    """Owns the administration port; ``port`` is 0 while it is not open."""

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock,
        bundles: BundleDuty,
        table: Table,
        objects: Objects,
        weights: Weights,
    ) -> None:
        self.port = 0
        self._host = settings["admin_host"]
        self._configured_port = settings["admin_port"]
        self._runner: InboundAppRunner | None = None
        self._clock = clock
        self._bounds = operator_bounds(settings)
        store = BundleStore(table, objects, clock=clock)
        bundle_admin = BundleAdmin(
            deployment=settings["deployment"],
            node=bundles,
            store=store,
            weights=weights,
            roots=root_people(dict(settings["trust_roots"])),
        )
        proposals = ProposalStore(
            store=store, table=table, objects=objects, clock=clock
        )
        self._app = build_admin_app(
            bundle_admin,
            proposals,
            authenticator=RequestAuthenticator(
                settings["deployment"], settings["node_name"]
            ),
            node_name=settings["node_name"],
            clock=clock,
        )

    def __repr__(self) -> str:
        return f"AdminDuty(port={self.port})"

    async def start(self) -> None:
        """Open the port, unless the settings disable it."""
        if self._configured_port is None:
            return
        self._runner = InboundAppRunner(self._app, clock=self._clock, **self._bounds)
        await self._runner.setup()
        self.port = await self._runner.listen(self._host, self._configured_port)
        log.info("admin: operators are served on port %d", self.port)

    async def stop(self) -> None:
        """Close the port."""
        if self._runner:
            await self._runner.cleanup()
