"""Structs of streams.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class StreamsBegan(TPayload):
    thrift_spec = {
        1: (TType.STRING, "service_name", True),
        2: (TType.STRING, "software", True),
        3: (TType.LIST, "streams", TType.I64, True),
    }

    def __init__(
        self,
        service_name: Any = None,
        software: Any = None,
        streams: Any = None,
    ) -> None:
        self.service_name = service_name
        self.software = software
        self.streams = streams


class StreamQuestion(TPayload):
    thrift_spec = {
        1: (TType.I32, "number", True),
        2: (TType.STRING, "service_name", True),
        3: (TType.I64, "stream", True),
    }

    def __init__(
        self,
        number: Any = None,
        service_name: Any = None,
        stream: Any = None,
    ) -> None:
        self.number = number
        self.service_name = service_name
        self.stream = stream


class StreamAnswer(TPayload):
    thrift_spec = {
        1: (TType.I32, "number", True),
        2: (TType.STRING, "software", False),
        3: (TType.LIST, "versions", TType.STRING, True),
    }

    def __init__(
        self,
        number: Any = None,
        software: Any = None,
        versions: Any = None,
    ) -> None:
        self.number = number
        self.software = software
        self.versions = versions
