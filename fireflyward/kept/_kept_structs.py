"""Structs of kept.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class LookUp(TPayload):
    thrift_spec = {
        1: (TType.I32, "shard", True),
        2: (TType.LIST, "entries", TType.I64, True),
    }

    def __init__(
        self,
        shard: Any = None,
        entries: Any = None,
    ) -> None:
        self.shard = shard
        self.entries = entries


class Found(TPayload):
    thrift_spec = {
        1: (TType.LIST, "holders", TType.STRING, True),
        2: (TType.LIST, "places", TType.BINARY, True),
    }

    def __init__(
        self,
        holders: Any = None,
        places: Any = None,
    ) -> None:
        self.holders = holders
        self.places = places
