"""Loads the bundle that the head in the platform names, and verifies it."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from fireflyward.backing import Missing, Unavailable

from ._bundle import BundleError, Person
from ._signing import SignedBundle
from ._state import BundleState
from ._store import BundleStore, Head, Whole
from ._verify import verify_change, verify_snapshot


@dataclass(frozen=True, slots=True)
class Loaded:
    """A verified state, and the changes that led to it from the state before."""

    state: BundleState
    changes: tuple[SignedBundle, ...] = ()


class BundleLoader:
    """Fetches and verifies bundles, from a snapshot if the node is far behind."""

    __slots__ = ("_deployment", "_roots", "_store")

    def __init__(
        self, store: BundleStore, *, roots: Mapping[str, Person], deployment: str
    ) -> None:
        self._store = store
        self._roots = roots
        self._deployment = deployment

    async def load(
        self, head: Head, state: BundleState | None
    ) -> Loaded | BundleError | Missing | Unavailable:
        """Return the verified state of ``head``.

        The loader starts from ``state`` if all changes after it can be fetched,
        otherwise from a snapshot.
        """
        if state is not None:
            changes = await self._store.fetch_changes(head, state.number)
            if isinstance(changes, tuple):
                return await self.verify_changes(state, changes)
        whole = await self._store.fetch_snapshot(head)
        if not isinstance(whole, Whole):
            return whole
        return await self.verify_snapshot_and_changes(whole)

    async def verify_snapshot_and_changes(self, whole: Whole) -> Loaded | BundleError:
        """Verify a snapshot by its trust links, then each change after it."""
        state = verify_snapshot(
            whole.snapshot, whole.links, roots=self._roots, deployment=self._deployment
        )
        if isinstance(state, BundleError):
            return state
        loaded = await self.verify_changes(state, whole.changes)
        return Loaded(loaded.state) if isinstance(loaded, Loaded) else loaded

    async def verify_changes(
        self, state: BundleState, changes: tuple[SignedBundle, ...]
    ) -> Loaded | BundleError:
        """Verify changes one by one; other tasks run in between."""
        for change in changes:
            next_state = verify_change(change, state, deployment=self._deployment)
            if isinstance(next_state, BundleError):
                return next_state
            state = next_state
            await asyncio.sleep(0)
        return Loaded(state, changes)
