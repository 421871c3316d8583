"""Structs of loads.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class LoadNews(TPayload):
    thrift_spec = {
        1: (TType.LIST, "replicas", TType.I32, True),
        2: (TType.LIST, "versions", TType.I16, True),
        3: (TType.LIST, "prefill", TType.I16, True),
        4: (TType.BINARY, "small", True),
        5: (TType.BOOL, "urgent", True),
        6: (TType.MAP, "names", (TType.I32, TType.STRING), True),
    }

    def __init__(
        self,
        replicas: Any = None,
        versions: Any = None,
        prefill: Any = None,
        small: Any = None,
        urgent: Any = None,
        names: Any = None,
    ) -> None:
        self.replicas = replicas
        self.versions = versions
        self.prefill = prefill
        self.small = small
        self.urgent = urgent
        self.names = names
