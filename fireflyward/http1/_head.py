"""The status and the headers of a response."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response; header names are in lower case."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Return the first header of this name, in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None
