"""Structs of poison.thrift, written by ``make structs``."""

from typing import Any

from thriftpy2.thrift import TPayload, TType


class PartsCut(TPayload):
    thrift_spec = {
        1: (TType.I32, "replica", True),
        2: (TType.LIST, "parts", TType.I64, True),
        3: (TType.LIST, "requests", TType.I32, True),
    }

    def __init__(
        self,
        replica: Any = None,
        parts: Any = None,
        requests: Any = None,
    ) -> None:
        self.replica = replica
        self.parts = parts
        self.requests = requests


class CompletionQuestion(TPayload):
    thrift_spec = {
        1: (TType.I32, "number", True),
        2: (TType.LIST, "parts", TType.I64, True),
    }

    def __init__(
        self,
        number: Any = None,
        parts: Any = None,
    ) -> None:
        self.number = number
        self.parts = parts


class CompletionAnswer(TPayload):
    thrift_spec = {
        1: (TType.I32, "number", True),
        2: (TType.LIST, "ages_ms", TType.I32, True),
        3: (TType.I32, "answers", True),
        4: (TType.I32, "recent", False),
        5: (TType.I32, "first_age_ms", False),
    }

    def __init__(
        self,
        number: Any = None,
        ages_ms: Any = None,
        answers: Any = None,
        recent: Any = None,
        first_age_ms: Any = None,
    ) -> None:
        self.number = number
        self.ages_ms = ages_ms
        self.answers = answers
        self.recent = recent
        self.first_age_ms = first_age_ms


class PartHeld(TPayload):
    thrift_spec = {
        1: (TType.I64, "part", True),
        2: (TType.I32, "crashes", True),
        3: (TType.BOOL, "had_answers", False),
        4: (TType.BOOL, "is_provisional", False),
    }

    def __init__(
        self,
        part: Any = None,
        crashes: Any = None,
        had_answers: Any = None,
        is_provisional: Any = None,
    ) -> None:
        self.part = part
        self.crashes = crashes
        self.had_answers = had_answers
        self.is_provisional = is_provisional


class PartCleared(TPayload):
    thrift_spec = {
        1: (TType.I64, "part", True),
    }

    def __init__(
        self,
        part: Any = None,
    ) -> None:
        self.part = part
