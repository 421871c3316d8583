"""The bundle that a node serves by; it never steps back."""

import hashlib

from ._bundle import Account, Bundle


class BundleHolder:
    """Holds the bundle in force at this node and answers lookups in it."""

    __slots__ = ("_account_by_key_digest", "_bundle")

    def __init__(self) -> None:
        self._bundle: Bundle | None = None
        self._account_by_key_digest: dict[str, tuple[str, str]] = {}

    def __repr__(self) -> str:
        return f"BundleHolder(number={self.number})"

    @property
    def bundle(self) -> Bundle | None:
        return self._bundle

    @property
    def number(self) -> int:
        """Return the number in force here; 0 before the first bundle."""
        return self._bundle.number if self._bundle else 0

    def offer(self, bundle: Bundle) -> bool:
        """Take ``bundle`` if its number is higher; return whether it was taken.

        A node that went back to an older number after a restart of a peer or a
        lagging read would serve by rules that operators withdrew; comparing
        numbers here, in the one place that sets the bundle, prevents that.
        """
        if bundle.number <= self.number:
            return False
        self._bundle = bundle
        self._account_by_key_digest = {
            caller.key_sha256: (account_name, caller_name)
            for account_name, account in bundle.accounts.items()
            for caller_name, caller in account.callers.items()
        }
        return True

    def account_of_key(self, key: str) -> tuple[str, str, Account] | None:
        """Return account name, caller name and account of a caller's key."""
        if self._bundle is None:
            return None
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = self._account_by_key_digest.get(digest)
        if found is None:
            return None
        account_name, caller_name = found
        return account_name, caller_name, self._bundle.accounts[account_name]
