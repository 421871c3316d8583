"""Runs the membership of many nodes on a faked clock, for measurements and tests."""

import heapq
import itertools
import random
from collections.abc import Callable

from fireflyward.membership import (
    Action,
    Alarm,
    Member,
    Membership,
    Message,
    Packet,
    Received,
    SeedsFound,
    Send,
    Tick,
    Timings,
)

Address = tuple[str, int]


class MembershipNet:
    """Delivers datagrams between ``Membership`` objects in one process.

    ``loss`` is the share of datagrams that are lost. ``is_blocked`` returns whether
    the network drops every datagram from one named node to another. A paused node
    receives nothing until it is resumed and then receives all waiting messages at
    once, as a process after SIGSTOP and SIGCONT does.
    """

    def __init__(self, *, seed: int, loss: float = 0.0, delay_ms: int = 1) -> None:
        self.now_ms = 0
        self.loss = loss
        self.is_blocked: Callable[[str, str], bool] = lambda one, other: False
        self.node_by_name: dict[str, Membership] = {}
        self.sent: list[tuple[int, str, Packet]] = []
        self.alarms: list[tuple[int, str, Alarm]] = []
        self.paused: set[str] = set()
        self._random = random.Random(seed)
        self._seed = seed
        self._delay_ms = delay_ms
        self._sequence = itertools.count()
        self._events: list[tuple[int, int, str, Message]] = []
        self._name_by_address: dict[Address, str] = {}
        self._held_messages_by_name: dict[str, list[Message]] = {}

    def start(
        self,
        name: str,
        domain: str,
        seeds: tuple[Address, ...],
        *,
        incarnation: int = 1,
    ) -> Membership:
        """Start a node, or restart the node of that name."""
        address = (name, 1)
        own = Member(name, address, domain, "r", incarnation)
        node = Membership(self.now_ms, own, seed=self._random.randrange(1 << 30))
        self.node_by_name[name] = node
        self._name_by_address[address] = name
        self._handle(name, SeedsFound(seeds))
        self._schedule(self.now_ms + self._random.randrange(100), name, Tick())
        return node

    def start_many(self, domains: int, per_domain: int) -> None:
        """Start a deployment whose nodes already have complete member lists."""
        names = [
            (f"entry-{index}-{domain}", f"domain-{domain}")
            for domain in range(domains)
            for index in range(per_domain)
        ]
        for name, domain in names:
            self.start(name, domain, ())
        rows = tuple(node.members.own for node in self.node_by_name.values())
        for node in self.node_by_name.values():
            node.preload_rows(self.now_ms, rows)

    def seed(self, name: str, seeds: tuple[Address, ...]) -> None:
        """Give a node seed addresses, as its settings would."""
        self._handle(name, SeedsFound(seeds))

    def kill(self, name: str) -> None:
        """Stop a node without a leave message, as a crash does."""
        del self.node_by_name[name]

    def resume(self, name: str) -> None:
        """Resume a paused node and deliver its waiting datagrams and ticks."""
        self.paused.discard(name)
        for message in self._held_messages_by_name.pop(name, []):
            self._handle(name, message)

    def deliver(self, name: str, message: Message) -> None:
        """Deliver a message to a node and perform the actions that the node returns."""
        self._handle(name, message)

    def run_ms(self, duration_ms: int) -> None:
        """Advance the clock by ``duration_ms`` and run all events that are due."""
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, name, message = heapq.heappop(self._events)
            if name in self.paused:
                self._held_messages_by_name.setdefault(name, []).append(message)
            elif name in self.node_by_name:
                self._handle(name, message)
        self.now_ms = until_ms

    def run_until(
        self, done: Callable[[], bool], limit_ms: int, *, step_ms: int = 50
    ) -> int | None:
        """Advance the clock until ``done``; return the duration, None at the limit."""
        started_ms = self.now_ms
        while not done():
            if self.now_ms - started_ms >= limit_ms:
                return None
            self.run_ms(step_ms)
        return self.now_ms - started_ms

    def _handle(self, name: str, message: Message) -> None:
        if name not in self.node_by_name:
            return
        if isinstance(message, Tick):
            self._schedule(self.now_ms + Timings().tick_ms, name, message)
        for action in self.node_by_name[name].decide(self.now_ms, message):
            self._perform(name, action)

    def _perform(self, name: str, action: Action) -> None:
        if isinstance(action, Alarm):
            self.alarms.append((self.now_ms, name, action))
        if not isinstance(action, Send):
            return
        self.sent.append((self.now_ms, name, action.packet))
        target = self._name_by_address.get(action.address)
        if target is None or self._random.random() < self.loss:
            return
        if not self.is_blocked(name, target):
            self._schedule(
                self.now_ms + self._delay_ms, target, Received(action.packet)
            )

    def _schedule(self, at_ms: int, name: str, message: Message) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), name, message))
