"""Structs of limits.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class Demand(TPayload):
    thrift_spec = {
        1: (TType.LIST, "accounts", TType.I32, True),
        2: (TType.LIST, "demands", TType.I32, True),
    }

    def __init__(
        self,
        accounts: Any = None,
        demands: Any = None,
    ) -> None:
        self.accounts = accounts
        self.demands = demands


class Tally(TPayload):
    thrift_spec = {
        1: (TType.LIST, "accounts", TType.I32, True),
        2: (TType.LIST, "totals", TType.I32, True),
    }

    def __init__(
        self,
        accounts: Any = None,
        totals: Any = None,
    ) -> None:
        self.accounts = accounts
        self.totals = totals
