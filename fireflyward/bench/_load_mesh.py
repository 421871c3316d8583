"""Simulates the load sharing of one failure domain on a faked clock."""

import heapq
import itertools
import random
import time
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any

from fireflyward.peers import PeerCodec, pack, unpack
from fireflyward.peers._codec import Envelope
from fireflyward.routing import (
    LoadNews,
    LoadSharing,
    Poll,
    Send,
    SharingAction,
    WatchedReplica,
)
from fireflyward.upstreams import LoadReport

DOMAIN = "here"
_TICK_MS = 50
_NETWORK_DELAY_MS = 1
_POLL_SENT_BYTES = 130
_POLL_RECEIVED_BYTES = 313
_KEY = b"k" * 16


@dataclass(slots=True)
class MeshNode:
    """One node with its traffic and the load reports that it has."""

    sharing: LoadSharing
    is_alive: bool = True
    sent_bytes: int = 0
    received_bytes: int = 0
    polls: int = 0
    datagrams: int = 0
    entry_ages_ms: list[int] = field(default_factory=list)
    measured_ms_by_name: dict[str, int] = field(default_factory=dict)
    report_by_name: dict[str, LoadReport | None] = field(default_factory=dict)


class LoadMesh:
    """Nodes of one domain that poll replicas and send each other the load reports.

    ``report_by_name`` is the load report of each replica, None for a replica that
    does not answer. ``loss`` is the share of datagrams that are lost.
    """

    def __init__(
        self, nodes: int, replicas: int, *, loss: float = 0.0, seed: int = 1
    ) -> None:
        self.now_ms = 0
        self.loss = loss
        self.cpu_s = 0.0
        self._random = random.Random(seed)
        self._codec = PeerCodec((_KEY,))
        self._events: list[tuple[int, int, str, str, bytes]] = []
        self._sequence = itertools.count()
        watched = [
            WatchedReplica(f"replica-{index}", DOMAIN, {f"model-{index % 17}": "v1"})
            for index in range(replicas)
        ]
        self.report_by_name: dict[str, LoadReport | None] = {
            item.name: LoadReport(2, 9, 6_400, 900, item.versions, epoch="1")
            for item in watched
        }
        self.node_by_name = {
            f"entry-{DOMAIN}-{index}": MeshNode(
                LoadSharing(f"entry-{DOMAIN}-{index}", DOMAIN)
            )
            for index in range(nodes)
        }
        for node in self.node_by_name.values():
            node.sharing.set_peers(self.node_by_name)
            node.sharing.set_replicas(watched)
        self._first_tick_ms_by_name = {
            name: self._random.randrange(2_000) for name in self.node_by_name
        }

    def run(self, duration_ms: int) -> None:
        """Advance the clock by ``duration_ms`` and run all events that are due."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += _TICK_MS
            self._deliver()
            for name, node in self.node_by_name.items():
                if node.is_alive and self.now_ms >= self._first_tick_ms_by_name[name]:
                    started_s = time.perf_counter()
                    actions = node.sharing.tick(self.now_ms)
                    self.cpu_s += time.perf_counter() - started_s
                    self._perform_all(name, actions)

    def reset_counts(self) -> None:
        """Reset the counts of processor time and traffic."""
        self.cpu_s = 0.0
        for node in self.node_by_name.values():
            node.sent_bytes = node.received_bytes = node.polls = node.datagrams = 0
            node.entry_ages_ms.clear()

    def oldest_entry_ms(self, name: str) -> int:
        """Return the age of the oldest load entry that a node has."""
        measured_ms = self.node_by_name[name].measured_ms_by_name
        return self.now_ms - min(
            measured_ms.get(item, 0) for item in self.report_by_name
        )

    def _deliver(self) -> None:
        while self._events and self._events[0][0] <= self.now_ms:
            _, _, sender, name, frame = heapq.heappop(self._events)
            node = self.node_by_name[name]
            if not node.is_alive:
                continue
            node.received_bytes += len(frame)
            started_s = time.perf_counter()
            update = unpack(LoadNews, self._codec.open(frame).body)
            entries, actions = node.sharing.on_load_update(self.now_ms, sender, update)
            self.cpu_s += time.perf_counter() - started_s
            for entry in entries:
                node.entry_ages_ms.append(self.now_ms - entry.measured_ms)
                node.measured_ms_by_name[entry.name] = entry.measured_ms
                node.report_by_name[entry.name] = entry.report
            self._perform_all(name, actions)

    def _perform_all(self, name: str, actions: list[SharingAction]) -> None:
        for action in actions:
            self._perform(action, name)

    @singledispatchmethod
    def _perform(self, action: SharingAction, name: str) -> None:
        raise TypeError(f"cannot perform {action!r}")

    @_perform.register
    def _(self, action: Poll, name: str) -> None:
        node = self.node_by_name[name]
        node.polls += 1
        node.sent_bytes += _POLL_SENT_BYTES
        node.received_bytes += _POLL_RECEIVED_BYTES
        report = self.report_by_name[action.name]
        entry, actions = node.sharing.on_polled(self.now_ms, action.name, report)
        if entry:
            node.measured_ms_by_name[entry.name] = entry.measured_ms
            node.report_by_name[entry.name] = entry.report
        self._perform_all(name, actions)

    @_perform.register
    def _(self, action: Send, name: str) -> None:
        for peer in action.peers:
            frame = self._encode_frame(name, action.update)
            node = self.node_by_name[name]
            node.datagrams += 1
            node.sent_bytes += len(frame)
            if self._random.random() >= self.loss:
                at_ms = self.now_ms + _NETWORK_DELAY_MS
                event = at_ms, next(self._sequence), name, peer, frame
                heapq.heappush(self._events, event)

    def _encode_frame(self, name: str, update: Any) -> bytes:
        started_s = time.perf_counter()
        envelope = Envelope(
            sender=name,
            incarnation=1_790_000_000_000,
            sequence=next(self._sequence),
            kind="loads",
            body=pack(update),
        )
        frame = self._codec.seal(envelope)
        self.cpu_s += time.perf_counter() - started_s
        return frame
