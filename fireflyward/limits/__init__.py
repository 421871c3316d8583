"""Limits the requests of each client account and queues the others fairly."""

from ._account_shares import (
    AccountShares,
    Demand,
    SendDemand,
    SendTally,
    SharesAction,
    Tally,
)
from ._admission import Admission, AdmissionRequest, Ticket
from ._fair_admission import FairAdmission, FairRequest, FairVerdict
from ._fair_queue import FairQueue, Waiter
from ._gate import AdmissionGate
from ._group_sums import LocalSums
from ._peer_sums import PeerSums
from ._request_cost import request_cost
from ._retry_after import MAX_RETRY_AFTER_MS, bounded_retry_after_ms
from ._sum_reports import SumReportTask
from ._window import Window

__all__ = [
    "AccountShares",
    "Admission",
    "AdmissionGate",
    "AdmissionRequest",
    "Demand",
    "FairAdmission",
    "FairQueue",
    "FairRequest",
    "FairVerdict",
    "LocalSums",
    "PeerSums",
    "SendDemand",
    "SendTally",
    "SharesAction",
    "SumReportTask",
    "Tally",
    "Ticket",
    "Waiter",
    "Window",
    "MAX_RETRY_AFTER_MS",
    "bounded_retry_after_ms",
    "request_cost",
]
