"""Structs of quarantine.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class EndNews(TPayload):
    thrift_spec = {
        1: (TType.I32, "start", True),
        2: (TType.LIST, "fingerprints", TType.STRING, True),
    }

    def __init__(
        self,
        start: Any = None,
        fingerprints: Any = None,
    ) -> None:
        self.start = start
        self.fingerprints = fingerprints


class ClearNews(TPayload):
    thrift_spec = {
        1: (TType.STRING, "fingerprint", True),
        2: (TType.LIST, "starts", TType.I32, True),
    }

    def __init__(
        self,
        fingerprint: Any = None,
        starts: Any = None,
    ) -> None:
        self.fingerprint = fingerprint
        self.starts = starts
