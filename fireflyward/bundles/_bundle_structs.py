"""Structs of bundle.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class BundleNews(TPayload):
    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "host", True),
        3: (TType.I32, "port", True),
    }

    def __init__(
        self,
        number: Any = None,
        host: Any = None,
        port: Any = None,
    ) -> None:
        self.number = number
        self.host = host
        self.port = port


class ChangesRequest(TPayload):
    thrift_spec = {
        1: (TType.I64, "after", True),
    }

    def __init__(
        self,
        after: Any = None,
    ) -> None:
        self.after = after


class ChangesReply(TPayload):
    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.LIST, "changes", TType.BINARY, True),
    }

    def __init__(
        self,
        number: Any = None,
        changes: Any = None,
    ) -> None:
        self.number = number
        self.changes = changes


class WholeRequest(TPayload):
    thrift_spec = {
        1: (TType.STRING, "digest", True),
        2: (TType.STRING, "after_part", True),
    }

    def __init__(
        self,
        digest: Any = None,
        after_part: Any = None,
    ) -> None:
        self.digest = digest
        self.after_part = after_part


class WholeReply(TPayload):
    thrift_spec = {
        1: (TType.I64, "number", True),
        2: (TType.STRING, "digest", True),
        3: (TType.BINARY, "page", True),
        4: (TType.LIST, "links", TType.BINARY, True),
        5: (TType.BOOL, "is_last", True),
    }

    def __init__(
        self,
        number: Any = None,
        digest: Any = None,
        page: Any = None,
        links: Any = None,
        is_last: Any = None,
    ) -> None:
        self.number = number
        self.digest = digest
        self.page = page
        self.links = links
        self.is_last = is_last


class StateRequest(TPayload):
    thrift_spec = {
        1: (TType.STRING, "asker", True),
    }

    def __init__(
        self,
        asker: Any = None,
    ) -> None:
        self.asker = asker


class StateReply(TPayload):
    thrift_spec = {
        1: (TType.STRING, "node_name", True),
        2: (TType.STRING, "failure_domain", True),
        3: (TType.I64, "number", True),
        4: (TType.I64, "head_number", True),
        5: (TType.I64, "confirmed_ms_ago", True),
        6: (TType.STRING, "refused", True),
    }

    def __init__(
        self,
        node_name: Any = None,
        failure_domain: Any = None,
        number: Any = None,
        head_number: Any = None,
        confirmed_ms_ago: Any = None,
        refused: Any = None,
    ) -> None:
        self.node_name = node_name
        self.failure_domain = failure_domain
        self.number = number
        self.head_number = head_number
        self.confirmed_ms_ago = confirmed_ms_ago
        self.refused = refused
