"""Structs of feeds.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class FeedAsk(TPayload):
    thrift_spec = {
        1: (TType.STRING, "table", True),
        2: (TType.I64, "after", True),
        3: (TType.I32, "wait_ms", True),
        4: (TType.I64, "era", True),
    }

    def __init__(
        self,
        table: Any = None,
        after: Any = None,
        wait_ms: Any = None,
        era: Any = None,
    ) -> None:
        self.table = table
        self.after = after
        self.wait_ms = wait_ms
        self.era = era


class FeedRow(TPayload):
    thrift_spec = {
        1: (TType.STRING, "row_key", True),
        2: (TType.BINARY, "row_value", True),
        3: (TType.I64, "version", True),
        4: (TType.BOOL, "is_deleted", True),
        5: (TType.I64, "era", True),
    }

    def __init__(
        self,
        row_key: Any = None,
        row_value: Any = None,
        version: Any = None,
        is_deleted: Any = None,
        era: Any = None,
    ) -> None:
        self.row_key = row_key
        self.row_value = row_value
        self.version = version
        self.is_deleted = is_deleted
        self.era = era


class FeedAnswer(TPayload):
    thrift_spec = {
        1: (TType.STRING, "outcome", True),
        2: (TType.I64, "version", True),
        3: (TType.LIST, "rows", (TType.STRUCT, FeedRow), True),
        4: (TType.I32, "age_ms", True),
        5: (TType.I32, "waited_ms", True),
        6: (TType.I64, "era", True),
    }

    def __init__(
        self,
        outcome: Any = None,
        version: Any = None,
        rows: Any = None,
        age_ms: Any = None,
        waited_ms: Any = None,
        era: Any = None,
    ) -> None:
        self.outcome = outcome
        self.version = version
        self.rows = rows
        self.age_ms = age_ms
        self.waited_ms = waited_ms
        self.era = era
