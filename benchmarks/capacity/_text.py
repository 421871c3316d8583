"""The words of docs/CAPACITY.md around its measured tables, from ``words/``."""

from pathlib import Path

_WORDS = Path(__file__).parent / "words"


def words(name: str, **figures: float) -> str:
    """Return one part of the page with its figures filled in."""
    text = (_WORDS / f"{name}.md").read_text()
    return text.format(**figures) if figures else text
