"""Structs of limits.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class Demand(TPayload):
    thrift_spec = {
        1: (TType.LIST, "accounts", TType.I32, True),
        2: (TType.LIST, "demands", TType.I32, True),
        3: (TType.LIST, "in_flight", TType.I32, False),
        4: (TType.LIST, "limits", TType.I32, False),
    }

    def __init__(
        self,
        accounts: Any = None,
        demands: Any = None,
        in_flight: Any = None,
        limits: Any = None,
    ) -> None:
        self.accounts = accounts
        self.demands = demands
        self.in_flight = in_flight
        self.limits = limits


class Tally(TPayload):
    thrift_spec = {
        1: (TType.LIST, "accounts", TType.I32, True),
        2: (TType.LIST, "totals", TType.I32, True),
        3: (TType.LIST, "parts", TType.I32, False),
    }

    def __init__(
        self,
        accounts: Any = None,
        totals: Any = None,
        parts: Any = None,
    ) -> None:
        self.accounts = accounts
        self.totals = totals
        self.parts = parts
