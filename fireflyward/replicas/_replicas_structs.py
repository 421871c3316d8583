"""Structs of replicas.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class UnderWayNews(TPayload):
    thrift_spec = {
        1: (TType.LIST, "incarnations", TType.STRING, True),
        2: (TType.LIST, "unread", TType.I32, True),
        3: (TType.LIST, "held", TType.I32, True),
        4: (TType.LIST, "requests", TType.I32, True),
    }

    def __init__(
        self,
        incarnations: Any = None,
        unread: Any = None,
        held: Any = None,
        requests: Any = None,
    ) -> None:
        self.incarnations = incarnations
        self.unread = unread
        self.held = held
        self.requests = requests


class UnderWaySum(TPayload):
    thrift_spec = {
        1: (TType.STRING, "aggregator", True),
        2: (TType.BOOL, "pass_on", True),
        3: (TType.LIST, "incarnations", TType.STRING, True),
        4: (TType.LIST, "unread", TType.I32, True),
        5: (TType.LIST, "held", TType.I32, True),
        6: (TType.LIST, "requests", TType.I32, True),
    }

    def __init__(
        self,
        aggregator: Any = None,
        pass_on: Any = None,
        incarnations: Any = None,
        unread: Any = None,
        held: Any = None,
        requests: Any = None,
    ) -> None:
        self.aggregator = aggregator
        self.pass_on = pass_on
        self.incarnations = incarnations
        self.unread = unread
        self.held = held
        self.requests = requests
