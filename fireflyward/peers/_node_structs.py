"""Structs of node.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class Envelope(TPayload):
    thrift_spec = {
        1: (TType.STRING, "sender", True),
        2: (TType.I64, "incarnation", True),
        3: (TType.I64, "sequence", True),
        4: (TType.STRING, "kind", True),
        5: (TType.BINARY, "body", True),
        6: (TType.I64, "reply_to", False),
    }

    def __init__(
        self,
        sender: Any = None,
        incarnation: Any = None,
        sequence: Any = None,
        kind: Any = None,
        body: Any = None,
        reply_to: Any = 0,
    ) -> None:
        self.sender = sender
        self.incarnation = incarnation
        self.sequence = sequence
        self.kind = kind
        self.body = body
        self.reply_to = reply_to


class Behind(TPayload):
    thrift_spec = {
        1: (TType.I64, "incarnation", True),
    }

    def __init__(
        self,
        incarnation: Any = None,
    ) -> None:
        self.incarnation = incarnation
