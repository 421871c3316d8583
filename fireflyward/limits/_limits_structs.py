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


class FairnessSums(TPayload):
    thrift_spec = {
        1: (TType.I32, "service_id", True),
        2: (TType.LIST, "kinds", TType.I32, True),
        3: (TType.LIST, "names", TType.I32, True),
        4: (TType.LIST, "arrived", TType.I32, True),
        5: (TType.LIST, "admitted", TType.I32, True),
        6: (TType.LIST, "rejected", TType.I32, True),
        7: (TType.LIST, "returned", TType.I32, True),
        8: (TType.LIST, "weights", TType.I32, False),
    }

    def __init__(
        self,
        service_id: Any = None,
        kinds: Any = None,
        names: Any = None,
        arrived: Any = None,
        admitted: Any = None,
        rejected: Any = None,
        returned: Any = None,
        weights: Any = None,
    ) -> None:
        self.service_id = service_id
        self.kinds = kinds
        self.names = names
        self.arrived = arrived
        self.admitted = admitted
        self.rejected = rejected
        self.returned = returned
        self.weights = weights
