"""Replayable workloads of the two deployments, and policies to compare on them.

Prompts are drawn from a seed, and the clock advances from event to event. Decisions
are made by the classes that the daemon uses, and costs are those of the engine
stand-in. Links, stores and delays are modelled in a few lines each; this is not a
complete simulator of a cluster.
"""

from ._andinos import AndinosLoad, andinos_prompts
from ._compare import Setting, Workload, replay, table_row, workload
from ._events import EventClock
from ._nota_birlik import NotaBirlikLoad, nota_birlik_prompts
from ._plot import draw_table
from ._policies import Policy
from ._prompts import Prompt, Text
from ._replay import Replay, ReplayFaults, ReplayResult
from ._shape import ANDINOS, NOTA_BIRLIK, DeploymentShape, StoreShape

__all__ = [
    "ANDINOS",
    "NOTA_BIRLIK",
    "AndinosLoad",
    "DeploymentShape",
    "EventClock",
    "NotaBirlikLoad",
    "Policy",
    "Prompt",
    "Replay",
    "ReplayFaults",
    "ReplayResult",
    "Setting",
    "StoreShape",
    "Text",
    "Workload",
    "andinos_prompts",
    "draw_table",
    "nota_birlik_prompts",
    "replay",
    "table_row",
    "workload",
]
