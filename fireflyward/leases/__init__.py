"""Leases in the table service, with one holder at a time and fencing numbers."""

from ._announcer import LeaseAnnouncer
from ._contenders import CONTENDER_COUNT, contenders
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
    RowRead,
    RowReceived,
    Tick,
    WriteAnswered,
    WriteRow,
)
from ._standby import Standby
from ._task import DEFAULT_LEASE_MS, KEY_PREFIX, LeaseTask

__all__ = [
    "CONTENDER_COUNT",
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
    "RowRead",
    "RowReceived",
    "Standby",
    "Tick",
    "WriteAnswered",
    "WriteRow",
    "contenders",
]
