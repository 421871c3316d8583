"""The whole system in one process, with stand-ins around it."""

from ._demo import run_demo
from ._deployment import DemoDeployment

__all__ = ["DemoDeployment", "run_demo"]
