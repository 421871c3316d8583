"""Checks that fail only because of a program error; the process then stops."""

from ._invariants import Invariant, InvariantBroken, add_listener, require

__all__ = ["Invariant", "InvariantBroken", "add_listener", "require"]
