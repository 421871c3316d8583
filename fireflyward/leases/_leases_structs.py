"""Structs of leases.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class LeaseHeld(TPayload):
    thrift_spec = {
        1: (TType.STRING, "name", True),
        2: (TType.BINARY, "row", True),
        3: (TType.I64, "version", True),
        4: (TType.I64, "era", True),
    }

    def __init__(
        self,
        name: Any = None,
        row: Any = None,
        version: Any = None,
        era: Any = None,
    ) -> None:
        self.name = name
        self.row = row
        self.version = version
        self.era = era
