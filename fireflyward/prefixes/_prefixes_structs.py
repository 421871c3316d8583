"""Structs of prefixes.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class StoreEvents(TPayload):
    thrift_spec = {
        1: (TType.STRING, "address", True),
        2: (TType.I64, "epoch", True),
        3: (TType.I64, "since", True),
        4: (TType.I64, "next_event", True),
        5: (TType.LIST, "salts", TType.STRING, True),
        6: (TType.LIST, "salt_of", TType.I32, True),
        7: (TType.LIST, "part_ids", TType.STRING, True),
        8: (TType.LIST, "tokens", TType.I32, True),
    }

    def __init__(
        self,
        address: Any = None,
        epoch: Any = None,
        since: Any = None,
        next_event: Any = None,
        salts: Any = None,
        salt_of: Any = None,
        part_ids: Any = None,
        tokens: Any = None,
    ) -> None:
        self.address = address
        self.epoch = epoch
        self.since = since
        self.next_event = next_event
        self.salts = salts
        self.salt_of = salt_of
        self.part_ids = part_ids
        self.tokens = tokens


class StoresNews(TPayload):
    thrift_spec = {
        1: (TType.LIST, "stores", (TType.STRUCT, StoreEvents), True),
    }

    def __init__(
        self,
        stores: Any = None,
    ) -> None:
        self.stores = stores


class StoreAsk(TPayload):
    thrift_spec = {
        1: (TType.STRING, "address", True),
        2: (TType.I64, "since", True),
        3: (TType.BOOL, "is_whole", True),
    }

    def __init__(
        self,
        address: Any = None,
        since: Any = None,
        is_whole: Any = None,
    ) -> None:
        self.address = address
        self.since = since
        self.is_whole = is_whole


class StoreAnswer(TPayload):
    thrift_spec = {
        1: (TType.STRING, "outcome", True),
        2: (TType.STRUCT, "events", StoreEvents, False),
    }

    def __init__(
        self,
        outcome: Any = None,
        events: Any = None,
    ) -> None:
        self.outcome = outcome
        self.events = events
