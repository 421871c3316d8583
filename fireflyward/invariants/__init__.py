"""What can only be false if the program is wrong; then the process stops."""

from ._invariants import Invariant, InvariantBroken, add_listener, require

__all__ = ["Invariant", "InvariantBroken", "add_listener", "require"]
