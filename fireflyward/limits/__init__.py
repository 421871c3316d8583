"""How much of each client account's work runs at once, and what waits for it."""

from ._account_shares import (
    AccountShares,
    Demand,
    SendDemand,
    SendTally,
    SharesAction,
    Tally,
)
from ._admission import Admission, AdmissionRequest, Ticket
from ._fair_queue import FairQueue, Waiter
from ._gate import AdmissionGate
from ._window import Window

__all__ = [
    "AccountShares",
    "Admission",
    "AdmissionGate",
    "AdmissionRequest",
    "Demand",
    "FairQueue",
    "SendDemand",
    "SendTally",
    "SharesAction",
    "Tally",
    "Ticket",
    "Waiter",
    "Window",
]
