"""Finds parts of prompts that crash replicas, and holds back prompts with them.

The requests with such a part (a poison message, as queueing systems call it) are all
different, so ``quarantine``, which counts crashes by whole requests, does not see that
they have the same cause.
"""

from ._completions import Completions
from ._crash_log import Crash, CrashLog
from ._gate import AnyPart, PartGate
from ._held_parts import HeldParts, PartHold, PartOnTrial
from ._inference import Suspect, find_suspects
from ._part_key import part_keys
from ._rows import HeldPartRows
from ._task import PoisonTask

__all__ = [
    "AnyPart",
    "Completions",
    "Crash",
    "CrashLog",
    "HeldPartRows",
    "HeldParts",
    "PartGate",
    "PartHold",
    "PartOnTrial",
    "PoisonTask",
    "Suspect",
    "find_suspects",
    "part_keys",
]
