"""Fireflyward serves prompts whose callers return after long gaps.

The package is a library with thin daemons: each function of a node is a sub-package
with its own state, messages and decisions, and ``fireflyward.daemon`` combines them
into the one program that every entry VM runs.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
