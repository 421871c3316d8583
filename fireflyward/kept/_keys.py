"""Names of KV blocks: a keyed hash chain that no other account can compute."""

import hashlib

from fireflyward.upstreams import BLOCK_TOKENS, split_tokens

_NAME_BYTES = 16


class BlockNames:
    """Derives the block keys of a prompt.

    The chain starts from the deployment's secret, the client account, the model,
    the weight version and the adapter, so a block of another account or version
    cannot even be named; each key covers all tokens before it.

    >>> names = BlockNames(b"secret")
    >>> names.of_prompt("a", "m", "v1", "", "x" * 256) == names.of_prompt(
    ...     "b", "m", "v1", "", "x" * 256)
    False
    """

    __slots__ = ("_key",)

    def __init__(self, key: bytes) -> None:
        self._key = key[:64]

    def of_prompt(
        self, account: str, model: str, version: str, adapter: str, prompt: str
    ) -> tuple[str, ...]:
        """Return the keys of the full blocks of ``prompt``, first to last."""
        tokens = split_tokens(prompt)
        parent = self._digest(_root(account, model, version, adapter))
        keys = []
        for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
            block = b"".join(tokens[start : start + BLOCK_TOKENS])
            parent = self._digest(parent + block)
            keys.append(parent.hex())
        return tuple(keys)

    def _digest(self, data: bytes) -> bytes:
        return hashlib.blake2b(data, key=self._key, digest_size=_NAME_BYTES).digest()


def _root(*parts: str) -> bytes:
    """Join the parts so that no two different lists give the same bytes."""
    encoded = [part.encode() for part in parts]
    return b"".join(len(part).to_bytes(4, "big") + part for part in encoded)
