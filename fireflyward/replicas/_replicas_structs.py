"""Structs of replicas.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class UnderWayNews(TPayload):
    thrift_spec = {
        1: (TType.LIST, "replicas", TType.I32, True),
        2: (TType.LIST, "unread", TType.I32, True),
        3: (TType.LIST, "held", TType.I32, True),
        4: (TType.LIST, "requests", TType.I32, True),
    }

    def __init__(
        self,
        replicas: Any = None,
        unread: Any = None,
        held: Any = None,
        requests: Any = None,
    ) -> None:
        self.replicas = replicas
        self.unread = unread
        self.held = held
        self.requests = requests
