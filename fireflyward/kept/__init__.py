"""Kept work: KV blocks of prompts that will return."""

from ._keys import BlockNames

__all__ = ["BlockNames"]
