"""Structs of reach.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class SilenceNews(TPayload):
    thrift_spec = {
        1: (TType.STRING, "failure_domain", True),
    }

    def __init__(
        self,
        failure_domain: Any = None,
    ) -> None:
        self.failure_domain = failure_domain
