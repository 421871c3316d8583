"""What callers meet: the HTTP interface of an entry VM."""

from ._app import EntryParts, build_app
from ._in_flight import Flight, InFlight

__all__ = ["EntryParts", "Flight", "InFlight", "build_app"]
