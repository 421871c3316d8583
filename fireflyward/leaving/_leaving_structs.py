"""Structs of leaving.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class LeavingNews(TPayload):
    thrift_spec = {
        1: (TType.LIST, "names", TType.STRING, True),
    }

    def __init__(
        self,
        names: Any = None,
    ) -> None:
        self.names = names
