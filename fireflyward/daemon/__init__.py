"""The one program that every entry VM runs."""

from ._node import Node
from ._outside import Outside
from ._serve import serve
from ._steps import StartStep, StopStep

__all__ = ["Node", "Outside", "StartStep", "StopStep", "serve"]
