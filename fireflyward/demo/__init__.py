"""The whole system in one process, with stand-ins around it."""

from ._demo import run_demo
from ._deployment import DOMAINS, MODEL, DemoDeployment, node_command

__all__ = ["DOMAINS", "MODEL", "DemoDeployment", "node_command", "run_demo"]
