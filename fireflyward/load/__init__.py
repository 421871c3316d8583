"""Load from many well-behaved callers, drawn from a seed; all answers are checked."""

from ._caller import LoadCaller
from ._plan import LoadPlan, LoadRequest, RequestMode, draw_requests
from ._report import LoadReport, make_report
from ._run import LoadRun

__all__ = [
    "LoadCaller",
    "LoadPlan",
    "LoadReport",
    "LoadRequest",
    "LoadRun",
    "RequestMode",
    "draw_requests",
    "make_report",
]
