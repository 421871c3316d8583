"""Reads the text of docs/CAPACITY.md around its tables from ``words/``."""

from pathlib import Path

_SECTIONS = Path(__file__).parent / "words"


def read_section(name: str, **figures: float) -> str:
    """Return one section of the page with its figures filled in."""
    text = (_SECTIONS / f"{name}.md").read_text()
    return text.format(**figures) if figures else text
