"""Structs of membership.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class Place(TPayload):
    thrift_spec = {
        1: (TType.STRING, "host", True),
        2: (TType.I32, "port", True),
        3: (TType.STRING, "failure_domain", True),
        4: (TType.STRING, "region", True),
    }

    def __init__(
        self,
        host: Any = None,
        port: Any = None,
        failure_domain: Any = None,
        region: Any = None,
    ) -> None:
        self.host = host
        self.port = port
        self.failure_domain = failure_domain
        self.region = region


class Row(TPayload):
    thrift_spec = {
        1: (TType.STRING, "name", True),
        2: (TType.I64, "incarnation", True),
        3: (TType.BYTE, "state", True),
        4: (TType.I64, "bundle_number", True),
        5: (TType.STRUCT, "place", Place, False),
    }

    def __init__(
        self,
        name: Any = None,
        incarnation: Any = None,
        state: Any = None,
        bundle_number: Any = None,
        place: Any = None,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.state = state
        self.bundle_number = bundle_number
        self.place = place


class DomainAge(TPayload):
    thrift_spec = {
        1: (TType.STRING, "failure_domain", True),
        2: (TType.I32, "age_ms", True),
    }

    def __init__(
        self,
        failure_domain: Any = None,
        age_ms: Any = None,
    ) -> None:
        self.failure_domain = failure_domain
        self.age_ms = age_ms


class DomainDigest(TPayload):
    thrift_spec = {
        1: (TType.STRING, "failure_domain", True),
        2: (TType.I64, "digest", True),
    }

    def __init__(
        self,
        failure_domain: Any = None,
        digest: Any = None,
    ) -> None:
        self.failure_domain = failure_domain
        self.digest = digest


class Packet(TPayload):
    thrift_spec = {
        1: (TType.BYTE, "kind", True),
        2: (TType.STRUCT, "sender", Row, True),
        3: (TType.I32, "number", False),
        4: (TType.STRING, "target", False),
        5: (TType.LIST, "rows", (TType.STRUCT, Row), False),
        6: (TType.LIST, "ages", (TType.STRUCT, DomainAge), False),
        7: (TType.LIST, "digests", (TType.STRUCT, DomainDigest), False),
    }

    def __init__(
        self,
        kind: Any = None,
        sender: Any = None,
        number: Any = None,
        target: Any = None,
        rows: Any = None,
        ages: Any = None,
        digests: Any = None,
    ) -> None:
        self.kind = kind
        self.sender = sender
        self.number = number
        self.target = target
        self.rows = rows
        self.ages = ages
        self.digests = digests
