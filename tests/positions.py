"""Positions in a store, for tests."""

from fireflyward.backing import Position


def at(version, era=0):
    """Return a position; most tests use a single era."""
    return Position(era, version)
