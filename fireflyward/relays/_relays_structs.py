"""Structs of relays.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class OpenTunnel(TPayload):
    thrift_spec = {
        1: (TType.I64, "replica", True),
        2: (TType.I32, "connect_ms", True),
    }

    def __init__(
        self,
        replica: Any = None,
        connect_ms: Any = None,
    ) -> None:
        self.replica = replica
        self.connect_ms = connect_ms


class TunnelReply(TPayload):
    thrift_spec = {
        1: (TType.I32, "status", True),
    }

    def __init__(
        self,
        status: Any = None,
    ) -> None:
        self.status = status
