"""Leases in the table service: one holder at a time, with a fencing number."""

from ._contenders import CONTENDERS, contenders
from ._lease import Lease
from ._messages import (
    Claim,
    Gained,
    HandOver,
    LeaseRow,
    LeaseStep,
    Lost,
    ReadRow,
    Released,
    Renewed,
    RowReceived,
    RowSeen,
    Tick,
    WriteAnswered,
    WriteRow,
)
from ._news import LeaseAnnouncer
from ._task import DEFAULT_LEASE_MS, KEY_PREFIX, LeaseTask

__all__ = [
    "CONTENDERS",
    "DEFAULT_LEASE_MS",
    "KEY_PREFIX",
    "Claim",
    "Gained",
    "HandOver",
    "Lease",
    "LeaseAnnouncer",
    "LeaseRow",
    "LeaseStep",
    "LeaseTask",
    "Lost",
    "ReadRow",
    "Released",
    "Renewed",
    "RowSeen",
    "RowReceived",
    "Tick",
    "WriteAnswered",
    "WriteRow",
    "contenders",
]
