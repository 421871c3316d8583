"""The node process that runs on every entry VM."""

from ._kept_work import KeptWork
from ._lifecycle_steps import StartStep, StopStep
from ._node import Node
from ._node_io import NodeIO
from ._serve import serve

__all__ = ["KeptWork", "Node", "NodeIO", "StartStep", "StopStep", "serve"]
