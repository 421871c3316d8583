"""The one program that every entry VM runs."""

from ._kept_work import KeptWork
from ._lifecycle_steps import StartStep, StopStep
from ._node import Node
from ._node_io import Outside
from ._serve import serve

__all__ = ["KeptWork", "Node", "Outside", "StartStep", "StopStep", "serve"]
