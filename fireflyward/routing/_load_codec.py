"""Encodes load reports for datagrams, in 13 bytes each."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from fireflyward.upstreams import LoadReport

from ._loads_structs import LoadNews

_SMALL_ENTRY_BYTES = 5
_MAX_BYTE_VALUE = 255
_MAX_PREFILL_UNITS = 32_767
_PREFILL_UNIT_TOKENS = 64
_FREE_UNIT_BLOCKS = 64
_AGE_UNIT_MS = 20
_LEAVING_BIT = 1
_UNREACHABLE_BIT = 2
_EPOCH_SHIFT = 2
_EPOCH_VALUES = 64
_SHORT_EPOCHS = frozenset(f"~{value}" for value in range(_EPOCH_VALUES))


@dataclass(frozen=True, slots=True)
class LoadEntry:
    """The load of one replica at the time when a node measured it.

    ``report`` is None if the replica did not answer the poll. Its ``epoch`` is the
    short form that is sent to other nodes.
    """

    name: str
    measured_ms: int
    report: LoadReport | None


class LoadCodec:
    """Encodes entries as load updates, with names and versions as hashes.

    The receiver can resolve the hash of the versions that its own bundle specifies.
    It can resolve other hashes after it has received the versions as text once. It
    treats an unknown hash as a replica without any confirmed version, and sends no
    new runs to that replica.
    """

    __slots__ = ("_name_by_hash", "_versions_by_hash", "_target_hash_by_name")

    def __init__(self) -> None:
        self._name_by_hash: dict[int, str] = {}
        self._versions_by_hash: dict[int, dict[str, str]] = {}
        self._target_hash_by_name: dict[str, int] = {}

    def set_target_versions(self, versions_by_name: dict[str, dict[str, str]]) -> None:
        """Set the replicas and the versions that the bundle specifies for each."""
        self._name_by_hash = {_hash(name, 4): name for name in versions_by_name}
        self._target_hash_by_name = {}
        for name, versions in versions_by_name.items():
            target_hash = _versions_hash(versions)
            self._target_hash_by_name[name] = target_hash
            self._versions_by_hash[target_hash] = dict(versions)

    def encode(self, now_ms: int, entries: Iterable[LoadEntry], *, urgent: bool) -> Any:
        """Return a load update that contains the given entries."""
        update = LoadNews(
            replicas=[], versions=[], prefill=[], small=b"", urgent=urgent, names={}
        )
        small = bytearray()
        for entry in entries:
            report = entry.report or LoadReport(0, 0, 0, 0)
            replica, versions = _hash(entry.name, 4), self._versions_of(entry)
            update.replicas.append(replica)
            update.versions.append(versions)
            tokens = report.queued_prefill_tokens // _PREFILL_UNIT_TOKENS
            update.prefill.append(min(tokens, _MAX_PREFILL_UNITS))
            age = (now_ms - entry.measured_ms) // _AGE_UNIT_MS
            free = report.free_blocks // _FREE_UNIT_BLOCKS
            for value in (report.queued, report.running, age, free):
                small.append(max(0, min(value, _MAX_BYTE_VALUE)))
            small.append(_state_byte(entry))
            if entry.report and versions != self._target_hash_by_name.get(entry.name):
                update.names[replica] = _versions_text(report.version_by_model)
        update.small = bytes(small)
        return update

    def decode(self, now_ms: int, update: Any) -> list[LoadEntry]:
        """Return the entries of an update, without those of unknown replicas.

        The result is empty if the lists of the update differ in length.
        """
        count = len(update.replicas)
        lists = (update.versions, update.prefill)
        if any(len(items) != count for items in lists):
            return []
        if len(update.small) != count * _SMALL_ENTRY_BYTES:
            return []
        for text in update.names.values():
            versions = _parse_versions(text)
            self._versions_by_hash[_versions_hash(versions)] = versions
        entries = (self._entry(now_ms, update, index) for index in range(count))
        return [entry for entry in entries if entry is not None]

    def has_target_versions(self, entry: LoadEntry) -> bool:
        """Return whether a replica has exactly the versions of the bundle."""
        return self._versions_of(entry) == self._target_hash_by_name.get(entry.name)

    def shorten(self, report: LoadReport) -> LoadReport:
        """Convert a polled report to the form of a report received from a node.

        Its age is 0, because the time of the entry already includes it. Its epoch is
        shortened: otherwise the replica would appear to have restarted whenever a
        polled report follows a received one, or the reverse.
        """
        epoch = _epoch_name(_epoch_hash(report.epoch))
        return replace(report, epoch=epoch, age_ms=0)

    def _versions_of(self, entry: LoadEntry) -> int:
        return _versions_hash(entry.report.version_by_model) if entry.report else 0

    def _entry(self, now_ms: int, update: Any, index: int) -> LoadEntry | None:
        name = self._name_by_hash.get(update.replicas[index])
        if name is None:
            return None
        start = index * _SMALL_ENTRY_BYTES
        small = update.small[start : start + _SMALL_ENTRY_BYTES]
        queued, running, age, free, state = small
        measured_ms = now_ms - age * _AGE_UNIT_MS
        if state & _UNREACHABLE_BIT:
            return LoadEntry(name, measured_ms, None)
        report = LoadReport(
            queued,
            running,
            update.prefill[index] * _PREFILL_UNIT_TOKENS,
            free * _FREE_UNIT_BLOCKS,
            dict(self._versions_by_hash.get(update.versions[index], {})),
            bool(state & _LEAVING_BIT),
            _epoch_name(state >> _EPOCH_SHIFT),
        )
        return LoadEntry(name, measured_ms, report)


def _state_byte(entry: LoadEntry) -> int:
    if entry.report is None:
        return _UNREACHABLE_BIT
    leaving = _LEAVING_BIT if entry.report.leaving else 0
    return leaving | _epoch_hash(entry.report.epoch) << _EPOCH_SHIFT


def _epoch_hash(epoch: str) -> int:
    """Return a six-bit hash of an epoch; a short form already contains it."""
    if epoch in _SHORT_EPOCHS:
        return int(epoch[1:])
    return _hash(epoch, 4) % _EPOCH_VALUES


def _epoch_name(hashed: int) -> str:
    return f"~{hashed}"


def _versions_hash(versions: dict[str, str]) -> int:
    return _hash(_versions_text(versions), 2)


def _versions_text(versions: dict[str, str]) -> str:
    return "\n".join(f"{model}\t{versions[model]}" for model in sorted(versions))


def _parse_versions(text: str) -> dict[str, str]:
    pairs = (line.partition("\t") for line in text.split("\n") if line)
    return {model: version for model, _, version in pairs}


def _hash(text: str, size: int) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=size).digest()
    return int.from_bytes(digest, "big", signed=True)
