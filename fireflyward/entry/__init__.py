"""What callers meet: the HTTP interface of an entry VM."""

from ._app import EntryParts, build_app

__all__ = ["EntryParts", "build_app"]
