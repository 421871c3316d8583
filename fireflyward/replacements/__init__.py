"""Knows how long ago the weights of a model were replaced by newer ones."""

from ._history import VersionHistory
from ._rows import ReplacementRow, ReplacementRows
from ._task import ReplacementTask

__all__ = ["ReplacementRow", "ReplacementRows", "ReplacementTask", "VersionHistory"]
