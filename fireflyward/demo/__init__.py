"""The complete system in one process, with stand-ins for its surroundings."""

from ._demo import run_demo
from ._deployment import DOMAINS, KEPT_KEY, MODEL, DemoDeployment, node_command

__all__ = ["DOMAINS", "KEPT_KEY", "MODEL", "DemoDeployment", "node_command", "run_demo"]
