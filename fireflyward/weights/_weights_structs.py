"""Structs of weights.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class LoadingNews(TPayload):
    thrift_spec = {
        1: (TType.LIST, "replicas", TType.I32, True),
        2: (TType.STRING, "model", True),
        3: (TType.I64, "version", True),
        4: (TType.I32, "for_ms", True),
    }

    def __init__(
        self,
        replicas: Any = None,
        model: Any = None,
        version: Any = None,
        for_ms: Any = None,
    ) -> None:
        self.replicas = replicas
        self.model = model
        self.version = version
        self.for_ms = for_ms


class LoadedNews(TPayload):
    thrift_spec = {
        1: (TType.I32, "replica", True),
        2: (TType.STRING, "model", True),
        3: (TType.I64, "version", True),
    }

    def __init__(
        self,
        replica: Any = None,
        model: Any = None,
        version: Any = None,
    ) -> None:
        self.replica = replica
        self.model = model
        self.version = version
