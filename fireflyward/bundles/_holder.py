"""The bundle in force at a node; its number never decreases."""

import hashlib
from collections.abc import Callable

from fireflyward.invariants import Invariant, require

from ._bundle import Account, Bundle
from ._parts import ChunkedAccounts

_CallerFinder = Callable[[str], tuple[str, str] | None]


class BundleHolder:
    """Holds the bundle in force at this node and finds callers by their keys."""

    __slots__ = ("_bundle", "_find_caller")

    def __init__(self) -> None:
        self._bundle: Bundle | None = None
        self._find_caller: _CallerFinder = {}.get

    def __repr__(self) -> str:
        return f"BundleHolder(number={self.number})"

    @property
    def bundle(self) -> Bundle | None:
        return self._bundle

    @property
    def number(self) -> int:
        """Return the number in force here; 0 before the first bundle."""
        return self._bundle.number if self._bundle else 0

    def update(self, bundle: Bundle) -> bool:
        """Bring ``bundle`` into force if its number is higher; return whether it was.

        A lagging read or a peer that restarted can supply an older bundle, whose rules
        operators have withdrawn. The numbers are compared here, in the only place that
        sets the bundle, so that a node never returns to an older bundle.
        """
        if bundle.number <= self.number:
            return False
        self._set_bundle(bundle)
        return True

    def _set_bundle(self, bundle: Bundle) -> None:
        require(
            bundle.number > self.number,
            Invariant.BUNDLE_FORWARD,
            "%d after %d",
            bundle.number,
            self.number,
        )
        self._bundle = bundle
        self._find_caller = _make_caller_finder(bundle)

    def account_of_key(self, key: str) -> tuple[str, str, Account] | None:
        """Return account name, caller name and account of a caller's key."""
        if self._bundle is None:
            return None
        found = self._find_caller(hashlib.sha256(key.encode()).hexdigest())
        if found is None:
            return None
        account_name, caller_name = found
        return account_name, caller_name, self._bundle.accounts[account_name]


def _make_caller_finder(bundle: Bundle) -> _CallerFinder:
    if isinstance(bundle.accounts, ChunkedAccounts):
        return bundle.accounts.find_key
    return {
        caller.key_sha256: (account_name, caller_name)
        for account_name, account in bundle.accounts.items()
        for caller_name, caller in account.callers.items()
    }.get
