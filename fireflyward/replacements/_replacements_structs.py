"""Structs of replacements.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class VersionAge(TPayload):
    thrift_spec = {
        1: (TType.I64, "version", True),
        2: (TType.I32, "age_ms", True),
    }

    def __init__(
        self,
        version: Any = None,
        age_ms: Any = None,
    ) -> None:
        self.version = version
        self.age_ms = age_ms


class ReplacementQuestion(TPayload):
    thrift_spec = {
        1: (TType.STRING, "model", True),
    }

    def __init__(
        self,
        model: Any = None,
    ) -> None:
        self.model = model


class ReplacementAnswer(TPayload):
    thrift_spec = {
        1: (TType.LIST, "last_newest", (TType.STRUCT, VersionAge), True),
    }

    def __init__(
        self,
        last_newest: Any = None,
    ) -> None:
        self.last_newest = last_newest
