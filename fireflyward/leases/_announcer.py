"""The holder of a lease announces its row to the other nodes."""

from collections.abc import Callable
from typing import Any

import msgspec

from fireflyward.backing import Position
from fireflyward.peers import Address, PeerLink

from ._leases_structs import LeaseHeld
from ._messages import LeaseRow
from ._task import LeaseTask

_KIND = "lease held"
# Nodes that do not contend get every second renewal, half of them at a time. A fleet of
# 350 nodes has one datagram per node every two seconds.
_GROUPS = 2


class LeaseAnnouncer:
    """Sends the lease's row to the other nodes, so that they need not poll the table.

    Seven nodes that polled once a second caused ten calls a second during a rollout,
    half of all calls of a fleet of 18 nodes. Instead, the holder sends a datagram after
    each renewal. The datagram may be lost or late; a contender that receives none polls
    the table.

    All nodes are told of a holder that is new or releases the lease, and of every
    second renewal, since the contenders may all have gone; see ``Standby``.
    """

    def __init__(
        self,
        lease: LeaseTask,
        *,
        contenders: Callable[[], list[Address]],
        others: Callable[[], list[Address]] = list,
    ) -> None:
        """``contenders`` and ``others`` return the addresses of all other nodes."""
        self._lease = lease
        self._contenders = contenders
        self._others = others
        self._link: PeerLink | None = None

    def use(self, link: PeerLink) -> None:
        """Send and receive announcements over a link from now on."""
        self._link = link
        link.register(_KIND, LeaseHeld, self._on_announcement, expires=True)

    def announce(self, row: LeaseRow, position: Position) -> None:
        """Send the last written row and its position to the other nodes."""
        if self._link is None:
            return
        announcement = LeaseHeld(
            name=self._lease.name,
            row=msgspec.json.encode(row),
            version=position.version,
            era=position.era,
        )
        others = self._others()
        is_renewal = row.beat > 0 and not row.released
        if is_renewal:
            others = others[row.beat % _GROUPS :: _GROUPS]
        self._link.send_all([*self._contenders(), *others], _KIND, announcement)

    async def _on_announcement(self, sender: str, announcement: Any) -> None:
        if announcement.name != self._lease.name:
            return
        row = msgspec.json.decode(announcement.row, type=LeaseRow)
        await self._lease.on_row_received(
            row, Position(announcement.era, announcement.version)
        )
