"""Structs of speeds.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class SpeedNews(TPayload):
    thrift_spec = {
        1: (TType.LIST, "replicas", TType.I32, True),
        2: (TType.LIST, "percents", TType.I16, True),
        3: (TType.LIST, "ages_ms", TType.I16, True),
    }

    def __init__(
        self,
        replicas: Any = None,
        percents: Any = None,
        ages_ms: Any = None,
    ) -> None:
        self.replicas = replicas
        self.percents = percents
        self.ages_ms = ages_ms
