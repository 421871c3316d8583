"""The exchange of bundles between nodes: cached replies, and fetching in pages."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from fireflyward.decoding import DECODE_ERRORS

from ._bundle import BundleError
from ._bundle_structs import (
    ChangesReply,
    WholeReply,
    WholeRequest,
)
from ._signing import SignedBundle
from ._state import BundleState
from ._store import Whole, decode_signed, encode_signed

_MAX_CACHED_CHANGES = 64
_PARTS_PER_PAGE = 64
_MAX_PAGES = 200
_MAX_REPLY_BYTES = 1 << 20
ANNOUNCEMENT_KIND = "bundle.news"
CHANGES_KIND = "bundle.changes"
WHOLE_KIND = "bundle.whole"
STATE_KIND = "bundle.state"


FetchPage = Callable[[Any], Awaitable[Any]]


class BundleCache:
    """Holds the state in force at this node and the last changes, for its peers."""

    __slots__ = ("_changes", "state")

    def __init__(self) -> None:
        self.state: BundleState | None = None
        self._changes: deque[tuple[int, bytes]] = deque(maxlen=_MAX_CACHED_CHANGES)

    def put(self, state: BundleState, changes: tuple[SignedBundle, ...] = ()) -> None:
        """Store a newer state and the changes that led to it, oldest first."""
        first = state.number - len(changes) + 1
        for number, change in enumerate(changes, first):
            self._changes.append((number, encode_signed(change)))
        self.state = state

    def changes_after(self, number: int) -> Any:
        """Return the changes after ``number``, as many as fit into one reply.

        There are none in the reply if the first of them is no longer cached.
        """
        current = self.state.number if self.state else 0
        bodies: list[bytes] = []
        size = 0
        for cached_number, body in self._changes:
            size += len(body) if cached_number > number else 0
            if cached_number == number + 1 + len(bodies) and size <= _MAX_REPLY_BYTES:
                bodies.append(body)
        return ChangesReply(number=current, changes=bodies)

    def page(self, digest: str, after_part: str) -> Any | None:
        """Return the page of parts that follows ``after_part``.

        If ``digest`` names another bundle than the one in force here, that is the first
        page. Return None before the first bundle.
        """
        if self.state is None:
            return None
        if digest != self.state.digest:
            after_part = ""
        names = sorted(name for name in self.state.part_by_name if name > after_part)
        chosen = names[:_PARTS_PER_PAGE]
        signed = self.state.signed
        page = SignedBundle(
            signed.document,
            signed.signatures,
            {name: self.state.part_by_name[name] for name in chosen},
        )
        return WholeReply(
            number=self.state.number,
            digest=self.state.digest,
            page=encode_signed(page),
            links=[encode_signed(link) for link in self.state.links],
            is_last=len(names) <= _PARTS_PER_PAGE,
        )


def decode_changes(reply: Any) -> tuple[SignedBundle, ...] | BundleError:
    """Decode the changes in a peer's reply."""
    try:
        return tuple(decode_signed(body) for body in reply.changes)
    except DECODE_ERRORS as error:
        return BundleError("changes", str(error), code="unreadable")


async def fetch_all_pages(fetch_page: FetchPage) -> Whole | BundleError:
    """Fetch page after page from a peer until all parts have arrived.

    If a newer bundle comes into force at the peer in the meantime, the pages of that
    bundle replace the pages that were fetched before.
    """
    digest, after_part = "", ""
    parts: dict[str, bytes] = {}
    for _ in range(_MAX_PAGES):
        reply = await fetch_page(WholeRequest(digest=digest, after_part=after_part))
        if not isinstance(reply, WholeReply):
            return BundleError(
                "whole", f"the peer sent no page: {reply}", code="unreadable"
            )
        try:
            page = decode_signed(reply.page)
            links = tuple(decode_signed(body) for body in reply.links)
        except DECODE_ERRORS as error:
            return BundleError("whole", str(error), code="unreadable")
        if reply.digest != digest:
            digest, parts = reply.digest, {}
        parts.update(page.parts)
        if reply.is_last:
            snapshot = SignedBundle(page.document, page.signatures, parts)
            return Whole(links, snapshot, ())
        if not page.parts:
            break
        after_part = max(page.parts)
        await asyncio.sleep(0)
    return BundleError("whole", "the peer's pages do not end", code="unreadable")
