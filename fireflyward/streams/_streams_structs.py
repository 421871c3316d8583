"""Structs of streams.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class StreamsBegan(TPayload):
    thrift_spec = {
        1: (TType.STRING, "service_name", True),
        2: (TType.STRING, "software", True),
        3: (TType.LIST, "streams", TType.I64, True),
        4: (TType.LIST, "ages_s", TType.I16, False),
    }

    def __init__(
        self,
        service_name: Any = None,
        software: Any = None,
        streams: Any = None,
        ages_s: Any = None,
    ) -> None:
        self.service_name = service_name
        self.software = software
        self.streams = streams
        self.ages_s = ages_s


class StreamsWanted(TPayload):
    thrift_spec = {
        1: (TType.LIST, "service_names", TType.STRING, True),
        2: (TType.STRING, "failure_domain", True),
        3: (TType.STRING, "ip", True),
        4: (TType.I32, "port", True),
    }

    def __init__(
        self,
        service_names: Any = None,
        failure_domain: Any = None,
        ip: Any = None,
        port: Any = None,
    ) -> None:
        self.service_names = service_names
        self.failure_domain = failure_domain
        self.ip = ip
        self.port = port


class StreamQuestion(TPayload):
    thrift_spec = {
        1: (TType.I32, "number", True),
        2: (TType.STRING, "service_name", True),
        3: (TType.I64, "stream", True),
        4: (TType.STRING, "ip", False),
        5: (TType.I32, "port", False),
    }

    def __init__(
        self,
        number: Any = None,
        service_name: Any = None,
        stream: Any = None,
        ip: Any = None,
        port: Any = None,
    ) -> None:
        self.number = number
        self.service_name = service_name
        self.stream = stream
        self.ip = ip
        self.port = port


class StreamAnswer(TPayload):
    thrift_spec = {
        1: (TType.I32, "number", True),
        2: (TType.STRING, "software", False),
        3: (TType.LIST, "versions", TType.STRING, True),
        4: (TType.LIST, "before_start", TType.STRING, False),
        5: (TType.BOOL, "forgot_before_start", False),
    }

    def __init__(
        self,
        number: Any = None,
        software: Any = None,
        versions: Any = None,
        before_start: Any = None,
        forgot_before_start: Any = None,
    ) -> None:
        self.number = number
        self.software = software
        self.versions = versions
        self.before_start = before_start
        self.forgot_before_start = forgot_before_start


class VersionsStored(TPayload):
    thrift_spec = {
        1: (TType.STRING, "service_name", True),
        2: (TType.LIST, "versions", TType.STRING, True),
        3: (TType.I32, "era", True),
        4: (TType.I64, "version", True),
    }

    def __init__(
        self,
        service_name: Any = None,
        versions: Any = None,
        era: Any = None,
        version: Any = None,
    ) -> None:
        self.service_name = service_name
        self.versions = versions
        self.era = era
        self.version = version
