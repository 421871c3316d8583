"""Keys of KV blocks: a keyed hash chain that no other account can compute."""

import hashlib

from fireflyward.upstreams import split_blocks

_NAME_BYTES = 16
_LENGTH_BYTES = 4
_MAX_KEY_BYTES = 64
_ROOT = b"root"
_BLOCK = b"block"
_OWNER = "owner"


class BlockNames:
    """Derives the block keys of a prompt.

    The hash chain starts with the deployment's secret, the client account, the model,
    the weight version and the adapter, so it is impossible to compute the key of
    another account's or version's block. Each key covers all tokens before it. If an
    account does not share prefixes among its callers, the chain starts with
    ``caller`` as well.

    >>> names = BlockNames(b"secret")
    >>> names.of_prompt("a", "m", "v1", "", "x" * 256) == names.of_prompt(
    ...     "b", "m", "v1", "", "x" * 256)
    False
    """

    __slots__ = ("_block_hash", "_root_hash")

    def __init__(self, key: bytes) -> None:
        key = key[:_MAX_KEY_BYTES]
        self._root_hash = _keyed_hash(key, _ROOT)
        self._block_hash = _keyed_hash(key, _BLOCK)

    def of_prompt(
        self,
        account: str,
        model: str,
        version: str,
        adapter: str,
        prompt: str,
        *,
        caller: str = "",
    ) -> tuple[str, ...]:
        """Return the keys of the full blocks of ``prompt``, in order.

        An empty ``caller`` means that all callers of the account share their blocks.
        """
        parent = self._root(account, caller, model, version, adapter)
        keys = []
        for block in split_blocks(prompt):
            # Copying a hash object that already contains the key avoids hashing the
            # key for each block, which is a quarter of the work.
            block_hash = self._block_hash.copy()
            block_hash.update(parent)
            block_hash.update(block)
            parent = block_hash.digest()
            keys.append(parent.hex())
        return tuple(keys)

    def owner_tag(self, account: str) -> str:
        """Return the tag that identifies an account at a store without its name."""
        return self._root(_OWNER, account).hex()

    def _root(self, *parts: str) -> bytes:
        """Hash the parts so that different lists of parts give different inputs.

        Roots and blocks are hashed with different personalization strings; otherwise
        an account with a long name could produce the hash of a parent and a block.
        """
        root_hash = self._root_hash.copy()
        for part in parts:
            data = part.encode()
            root_hash.update(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
        return root_hash.digest()


def _keyed_hash(key: bytes, purpose: bytes) -> "hashlib.blake2b":
    return hashlib.blake2b(key=key, digest_size=_NAME_BYTES, person=purpose)
