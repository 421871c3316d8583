"""Structs of presence.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class PresenceQuestion(TPayload):
    thrift_spec = {
        1: (TType.STRING, "ip", True),
        2: (TType.I32, "port", True),
        3: (TType.I64, "asked_ms", True),
    }

    def __init__(
        self,
        ip: Any = None,
        port: Any = None,
        asked_ms: Any = None,
    ) -> None:
        self.ip = ip
        self.port = port
        self.asked_ms = asked_ms


class PresenceAnswer(TPayload):
    thrift_spec = {
        1: (TType.I64, "asked_ms", True),
    }

    def __init__(
        self,
        asked_ms: Any = None,
    ) -> None:
        self.asked_ms = asked_ms
