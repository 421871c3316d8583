"""The one program that every entry VM runs."""

from ._node import Node
from ._serve import serve

__all__ = ["Node", "serve"]
