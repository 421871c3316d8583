"""Structs of notices.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class ReplicaNews(TPayload):
    thrift_spec = {
        1: (TType.LIST, "replicas", TType.I32, True),
        2: (TType.LIST, "limits", TType.DOUBLE, True),
        3: (TType.LIST, "ages_ms", TType.I32, True),
        4: (TType.LIST, "leaving", TType.I32, True),
        5: (TType.LIST, "brittle", TType.I32, False),
        6: (TType.LIST, "withstood", TType.DOUBLE, False),
        7: (TType.LIST, "brittle_ages_ms", TType.I32, False),
        8: (TType.LIST, "rejecting", TType.I32, False),
    }

    def __init__(
        self,
        replicas: Any = None,
        limits: Any = None,
        ages_ms: Any = None,
        leaving: Any = None,
        brittle: Any = None,
        withstood: Any = None,
        brittle_ages_ms: Any = None,
        rejecting: Any = None,
    ) -> None:
        self.replicas = replicas
        self.limits = limits
        self.ages_ms = ages_ms
        self.leaving = leaving
        self.brittle = brittle
        self.withstood = withstood
        self.brittle_ages_ms = brittle_ages_ms
        self.rejecting = rejecting
