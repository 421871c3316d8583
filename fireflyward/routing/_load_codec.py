"""Load reports in thirteen bytes each."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from fireflyward.upstreams import LoadReport

from ._loads_structs import LoadNews

_SMALL_BYTES = 5
_MOST_SMALL = 255
_MOST_PREFILL = 32_767
_TOKENS_UNIT = 64
_BLOCKS_UNIT = 64
_AGE_UNIT_MS = 20
_LEAVING = 1
_UNREACHABLE = 2
_EPOCH_SHIFT = 2
_EPOCHS = 64


@dataclass(frozen=True, slots=True)
class LoadEntry:
    """What one node learnt of one replica, and when.

    ``report`` is None when the replica did not answer the poll. ``epoch`` inside
    of it is the short form that survives the wire.
    """

    name: str
    measured_ms: int
    report: LoadReport | None


class LoadCodec:
    """Turns entries into news and back; knows names and versions by their hashes.

    Versions travel as a hash. The receiver knows the hash of what its own bundle
    wants; of others it knows what was once told in words. A hash that it does not
    know reads as no confirmed version, so the replica gets nothing new from it.
    """

    __slots__ = ("_name_by_hash", "_versions_by_hash", "_wanted_by_name")

    def __init__(self) -> None:
        self._name_by_hash: dict[int, str] = {}
        self._versions_by_hash: dict[int, dict[str, str]] = {}
        self._wanted_by_name: dict[str, int] = {}

    def set_wanted(self, versions_by_name: dict[str, dict[str, str]]) -> None:
        """Take the replicas and the versions that the bundle wants of each."""
        self._name_by_hash = {_hash(name, 4): name for name in versions_by_name}
        self._wanted_by_name = {}
        for name, versions in versions_by_name.items():
            wanted = _versions_hash(versions)
            self._wanted_by_name[name] = wanted
            self._versions_by_hash[wanted] = dict(versions)

    def encode(self, now_ms: int, entries: Iterable[LoadEntry], *, urgent: bool) -> Any:
        """Return the news of some entries."""
        news = LoadNews(
            replicas=[], versions=[], prefill=[], small=b"", urgent=urgent, names={}
        )
        small = bytearray()
        for entry in entries:
            report = entry.report or LoadReport(0, 0, 0, 0)
            replica, versions = _hash(entry.name, 4), self._versions_of(entry)
            news.replicas.append(replica)
            news.versions.append(versions)
            tokens = report.queued_prefill_tokens // _TOKENS_UNIT
            news.prefill.append(min(tokens, _MOST_PREFILL))
            age = (now_ms - entry.measured_ms) // _AGE_UNIT_MS
            free = report.free_blocks // _BLOCKS_UNIT
            for value in (report.queued, report.running, age, free):
                small.append(max(0, min(value, _MOST_SMALL)))
            small.append(_state(entry))
            if entry.report and versions != self._wanted_by_name.get(entry.name):
                news.names[replica] = _in_words(report.version_by_model)
        news.small = bytes(small)
        return news

    def decode(self, now_ms: int, news: Any) -> list[LoadEntry]:
        """Return the entries of replicas that the bundle knows."""
        count = len(news.replicas)
        lists = (news.versions, news.prefill)
        if any(len(items) != count for items in lists):
            return []
        if len(news.small) != count * _SMALL_BYTES:
            return []
        for words in news.names.values():
            versions = _from_words(words)
            self._versions_by_hash[_versions_hash(versions)] = versions
        entries = (self._entry(now_ms, news, index) for index in range(count))
        return [entry for entry in entries if entry is not None]

    def is_wanted(self, entry: LoadEntry) -> bool:
        """Tell whether a replica has exactly the versions that the bundle wants."""
        return self._versions_of(entry) == self._wanted_by_name.get(entry.name)

    def shorten(self, report: LoadReport) -> LoadReport:
        """Give a first-hand report the form that a shared one would have.

        Its age is in the entry's time; its epoch is shortened, since otherwise
        each change between hearsay and own word would look like a restart.
        """
        epoch = _epoch_name(_epoch_hash(report.epoch))
        return replace(report, epoch=epoch, age_ms=0)

    def _versions_of(self, entry: LoadEntry) -> int:
        return _versions_hash(entry.report.version_by_model) if entry.report else 0

    def _entry(self, now_ms: int, news: Any, index: int) -> LoadEntry | None:
        name = self._name_by_hash.get(news.replicas[index])
        if name is None:
            return None
        start = index * _SMALL_BYTES
        small = news.small[start : start + _SMALL_BYTES]
        queued, running, age, free, state = small
        measured_ms = now_ms - age * _AGE_UNIT_MS
        if state & _UNREACHABLE:
            return LoadEntry(name, measured_ms, None)
        report = LoadReport(
            queued,
            running,
            news.prefill[index] * _TOKENS_UNIT,
            free * _BLOCKS_UNIT,
            dict(self._versions_by_hash.get(news.versions[index], {})),
            bool(state & _LEAVING),
            _epoch_name(state >> _EPOCH_SHIFT),
        )
        return LoadEntry(name, measured_ms, report)


def _state(entry: LoadEntry) -> int:
    if entry.report is None:
        return _UNREACHABLE
    leaving = _LEAVING if entry.report.leaving else 0
    return leaving | _epoch_hash(entry.report.epoch) << _EPOCH_SHIFT


def _epoch_hash(epoch: str) -> int:
    """Return six bits of an epoch; those of a short form are the form itself."""
    if epoch.startswith("~"):
        return int(epoch[1:])
    return _hash(epoch, 4) % _EPOCHS


def _epoch_name(hashed: int) -> str:
    return f"~{hashed}"


def _versions_hash(versions: dict[str, str]) -> int:
    return _hash(_in_words(versions), 2)


def _in_words(versions: dict[str, str]) -> str:
    return "\n".join(f"{model}\t{versions[model]}" for model in sorted(versions))


def _from_words(words: str) -> dict[str, str]:
    pairs = (line.partition("\t") for line in words.split("\n") if line)
    return {model: version for model, _, version in pairs}


def _hash(text: str, size: int) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=size).digest()
    return int.from_bytes(digest, "big", signed=True)
