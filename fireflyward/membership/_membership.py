"""The decisions of membership: what to send, whom to suspect, which rows to accept."""

import random
from functools import singledispatchmethod

from ._domain_watch import DomainWatch
from ._members import Member, Members, MemberState
from ._messages import (
    Action,
    Alarm,
    AlarmKind,
    BundleChanged,
    IncarnationRaised,
    LeaveDone,
    LeaveStarted,
    LinkOpened,
    Message,
    Packet,
    PacketKind,
    Received,
    SeedsFound,
    Send,
    SetIncarnation,
    Tick,
)
from ._probing import Probing, Timings
from ._relays import NameConflictDetector, Relays
from ._roster import Roster
from ._sync import Sync

_MAX_ROWS_PER_DATAGRAM = 4
_PUSH_NEAR_TARGETS = 3
_PUSH_FAR_TARGETS = 1
_PUSH_BURST = 8.0
_NUMBER_MODULUS = 1 << 31


class Membership:
    """Tracks the nodes of the deployment: ``decide(now_ms, message) -> actions``.

    Within a failure domain the protocol is SWIM: a node probes one member each
    period, first directly, then through other nodes. A member that answers neither
    is suspected, and declared dead unless it refutes the suspicion in time. Across
    failure domains a node only probes one random member now and then to exchange
    gossip. No single member is suspected there: a failure domain from which nothing
    arrives counts as unreachable as a whole until something arrives again.

    ``members`` is the view for other packages; it changes only inside ``decide``
    and ``preload_rows``.
    """

    __slots__ = (
        "_domain_watch",
        "_last_ms",
        "_name_conflicts",
        "_next_remote_probe_ms",
        "_probing",
        "_push_tokens",
        "_random",
        "_relays",
        "_roster",
        "_sync",
        "_timings",
        "_unreachable",
        "_urgent",
    )

    def __init__(
        self,
        now_ms: int,
        own: Member,
        *,
        seed: int | None = None,
        timings: Timings | None = None,
    ) -> None:
        self._timings = timings or Timings()
        self._random = random.Random(seed)
        self._roster = Roster(own)
        self._domain_watch = DomainWatch(
            own.failure_domain, self._timings.unreachable_after_ms
        )
        self._probing = Probing(now_ms, self._timings, self._random)
        self._sync = Sync(
            now_ms,
            roster=self._roster,
            domain_watch=self._domain_watch,
            timings=self._timings,
            rng=self._random,
        )
        self._relays = Relays(self._timings.probe_period_ms)
        self._push_tokens = _PUSH_BURST
        self._last_ms = now_ms
        self._next_remote_probe_ms = now_ms + self._remote_probe_delay_ms()
        self._unreachable: frozenset[str] = frozenset()
        self._name_conflicts = NameConflictDetector()
        self._urgent = False

    def __repr__(self) -> str:
        return f"Membership({self.members!r})"

    @property
    def members(self) -> Members:
        return self._roster.members

    def decide(self, now_ms: int, message: Message) -> list[Action]:
        """Process a message and the time since the last call; return the actions."""
        actions = self._pass_time(now_ms)
        actions += self._decide(message, now_ms)
        if self._urgent:
            self._urgent = False
            actions += self._push(now_ms)
        return actions

    def preload_rows(self, now_ms: int, rows: tuple[Member, ...]) -> None:
        """Start from rows that all nodes already have, without spreading them."""
        for row in rows:
            if row.name != self.members.own.name:
                self._roster.merge(now_ms, row)
                self._roster.gossip.drop(row.name)
                self._domain_watch.on_contact(now_ms, row.failure_domain)

    @singledispatchmethod
    def _decide(self, message: Message, now_ms: int) -> list[Action]:
        raise AssertionError(f"no handler for {message!r}")

    @_decide.register
    def _(self, message: Tick, now_ms: int) -> list[Action]:
        actions = self._probe(now_ms)
        actions += self._resolve_suspicions(now_ms)
        if now_ms >= self._next_remote_probe_ms:
            self._next_remote_probe_ms = now_ms + self._remote_probe_delay_ms()
            actions += self._probe_other_domain(now_ms)
        actions += self._sync.due(now_ms)
        actions += self._watch_domains(now_ms)
        return actions

    @_decide.register
    def _(self, message: Received, now_ms: int) -> list[Action]:
        packet = message.packet
        if packet.sender.name == self.members.own.name:
            return self._refute(now_ms, packet.sender)
        count = len(self.members.stored_all())
        actions = self._on_contact(now_ms, packet.sender)
        for row in packet.rows:
            actions += self._merge_row(now_ms, row)
        if packet.kind is PacketKind.ROWS and len(self.members.stored_all()) > count:
            self._sync.on_new_members()
        for age in packet.ages:
            self._domain_watch.on_contact(
                now_ms, age.failure_domain, max(0, age.age_ms)
            )
        return actions + self._answer(now_ms, packet)

    @_decide.register
    def _(self, message: LinkOpened, now_ms: int) -> list[Action]:
        self._roster.set_own(address=message.address)
        return []

    @_decide.register
    def _(self, message: SeedsFound, now_ms: int) -> list[Action]:
        self._sync.set_seeds(message.addresses)
        return []

    @_decide.register
    def _(self, message: BundleChanged, now_ms: int) -> list[Action]:
        self._roster.set_own(bundle_number=message.number)
        return []

    @_decide.register
    def _(self, message: LeaveStarted, now_ms: int) -> list[Action]:
        self._roster.set_own(state=MemberState.LEAVING)
        self._urgent = True
        return []

    @_decide.register
    def _(self, message: LeaveDone, now_ms: int) -> list[Action]:
        self._roster.set_own(state=MemberState.DEAD)
        self._urgent = True
        return []

    @_decide.register
    def _(self, message: IncarnationRaised, now_ms: int) -> list[Action]:
        if message.incarnation > self.members.own.incarnation:
            self._roster.set_own(incarnation=message.incarnation)
        return []

    def _pass_time(self, now_ms: int) -> list[Action]:
        """Refill the push tokens, and detect a pause of this process.

        After a pause every deadline has passed although no other node failed. A node
        that relied on its timers then would declare its whole failure domain dead, so
        all deadlines are postponed by the length of the pause.
        """
        passed_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        refill = passed_ms * self._timings.push_per_second / 1_000
        self._push_tokens = min(_PUSH_BURST, self._push_tokens + refill)
        if passed_ms <= self._timings.pause_ms:
            return []
        self._probing.on_pause(now_ms, passed_ms)
        self._domain_watch.on_pause(passed_ms)
        return [Alarm(AlarmKind.PAUSED, self.members.own.name)]

    def _probe(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for attempt in self._probing.due(now_ms, self._roster):
            if attempt.failed:
                actions += self._suspect(now_ms, attempt.name)
                continue
            target = self.members.stored(attempt.name)
            if target is None:
                continue
            actions.append(self._send(now_ms, target, PacketKind.PROBE, attempt.number))
            for name in attempt.helpers:
                helper = self.members.stored(name)
                request = self._send(
                    now_ms, helper, PacketKind.PROBE_REQUEST, attempt.number, target
                )
                actions.append(request)
        return actions

    def _suspect(self, now_ms: int, name: str) -> list[Action]:
        member = self.members.stored(name)
        if member is None or member.state is MemberState.DEAD:
            return []
        self._probing.suspect(now_ms, name)
        if member.state is MemberState.SUSPECTED:
            return []
        self._roster.set_state(now_ms, name, MemberState.SUSPECTED)
        return [Alarm(AlarmKind.NODE_SUSPECTED, name)]

    def _resolve_suspicions(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for name, link_confirmed in self._probing.expired(now_ms):
            member = self.members.stored(name)
            if member is None or member.state is not MemberState.SUSPECTED:
                continue
            if not link_confirmed:
                self.members.set_reachable(name, reachable=False)
                continue
            self._roster.set_state(now_ms, name, MemberState.DEAD)
            self._urgent = True
            actions.append(Alarm(AlarmKind.NODE_DEAD, name))
        return actions

    def _on_contact(self, now_ms: int, sender: Member) -> list[Action]:
        actions = self._merge_row(now_ms, sender)
        current = self.members.stored(sender.name)
        if current is not None and sender.incarnation >= current.incarnation:
            self.members.set_reachable(sender.name, reachable=True)
            self._domain_watch.on_contact(now_ms, current.failure_domain)
            for name in self._probing.on_link_confirmed(now_ms, sender.name):
                self._roster.withdraw_suspicion(name)
                self.members.set_reachable(name, reachable=True)
        return actions

    def _merge_row(self, now_ms: int, row: Member) -> list[Action]:
        if row.name == self.members.own.name:
            return self._refute(now_ms, row)
        old = self.members.stored(row.name)
        member = self._roster.merge(now_ms, row)
        if member is None:
            return []
        if member.state is not MemberState.SUSPECTED:
            self._probing.clear(member.name)
        if old is None or old.state is member.state:
            return []
        self._urgent = self._urgent or member.state is not MemberState.SUSPECTED
        if member.state is MemberState.DEAD:
            return [Alarm(AlarmKind.NODE_DEAD, member.name)]
        if old.state is MemberState.DEAD:
            return [Alarm(AlarmKind.NODE_LIVE, member.name)]
        return []

    def _refute(self, now_ms: int, row: Member) -> list[Action]:
        to_exceed = self._roster.incarnation_to_exceed(row)
        if to_exceed is None:
            return []
        self._roster.set_own(incarnation=to_exceed + 1)
        self._urgent = True
        actions: list[Action] = [SetIncarnation(to_exceed + 1)]
        has_other_address = (
            row.failure_domain and row.address != self.members.own.address
        )
        if has_other_address and self._name_conflicts.on_refutation(now_ms):
            actions.append(Alarm(AlarmKind.NAME_TAKEN, self.members.own.name))
        return actions

    def _answer(self, now_ms: int, packet: Packet) -> list[Action]:
        sender = self.members.stored(packet.sender.name)
        if sender is None:
            return []
        if packet.sender.incarnation < sender.incarnation:
            return self._notify_stale_sender(packet, sender)
        if packet.kind is PacketKind.PROBE:
            return [self._send(now_ms, sender, PacketKind.ACK, packet.number)]
        if packet.kind is PacketKind.ACK:
            return self._on_ack(now_ms, packet)
        if packet.kind is PacketKind.PROBE_REQUEST:
            return self._relay(now_ms, packet)
        if packet.kind is PacketKind.SYNC:
            return self._sync.answer(packet)
        return []

    def _notify_stale_sender(self, packet: Packet, current: Member) -> list[Action]:
        """Send a node the higher incarnation that this node has recorded for it.

        The node restarted after its wall clock was set back, so its new incarnation
        is lower than the last. Without this answer, after which it chooses a higher
        one, every row about it would count as old and it would stay dead for all
        others. If the datagram was only an old one, the answer changes nothing.
        """
        if packet.kind not in (PacketKind.PROBE, PacketKind.SYNC):
            return []
        gossip = Packet(PacketKind.NEWS, self.members.own, rows=(current,))
        return [Send(packet.sender.address, gossip)]

    def _on_ack(self, now_ms: int, packet: Packet) -> list[Action]:
        relay = self._relays.pop(packet.number)
        if relay is None:
            self._probing.on_ack(packet.number)
            return []
        requester = self.members.stored(relay.requester)
        if requester is None:
            return []
        return [self._send(now_ms, requester, PacketKind.ACK, relay.number)]

    def _relay(self, now_ms: int, packet: Packet) -> list[Action]:
        target = self.members.stored(packet.target)
        if target is None:
            return []
        number = self._new_number()
        self._relays.add(now_ms, number, packet.sender.name, packet.number)
        return [self._send(now_ms, target, PacketKind.PROBE, number)]

    def _probe_other_domain(self, now_ms: int) -> list[Action]:
        names = self._domain_watch.names()
        if not names:
            return []
        domain = self._random.choice(names)
        candidates = [
            item for item in self._roster.far() if item.failure_domain == domain
        ]
        if not candidates:
            return []
        target = self._random.choice(candidates)
        return [self._send(now_ms, target, PacketKind.PROBE, self._new_number())]

    def _watch_domains(self, now_ms: int) -> list[Action]:
        unreachable = self._domain_watch.unreachable(now_ms)
        if unreachable == self._unreachable:
            return []
        lost = sorted(unreachable - self._unreachable)
        recovered = sorted(self._unreachable - unreachable)
        self._unreachable = unreachable
        self.members.set_unreachable_domains(unreachable)
        return [Alarm(AlarmKind.DOMAIN_UNHEARD, name) for name in lost] + [
            Alarm(AlarmKind.DOMAIN_HEARD, name) for name in recovered
        ]

    def _push(self, now_ms: int) -> list[Action]:
        """Send urgent gossip to a few nodes without waiting for the next probe."""
        if self._push_tokens < 1 and self.members.own.state is MemberState.LIVE:
            return []
        self._push_tokens -= 1
        near = self._roster.near()
        far = self._roster.far()
        targets = self._random.sample(near, min(_PUSH_NEAR_TARGETS, len(near)))
        targets += self._random.sample(far, min(_PUSH_FAR_TARGETS, len(far)))
        return [self._send(now_ms, target, PacketKind.NEWS) for target in targets]

    def _send(
        self,
        now_ms: int,
        target: Member,
        kind: PacketKind,
        number: int = 0,
        probe_target: Member | None = None,
    ) -> Send:
        rows = [
            member
            for member in (target, probe_target)
            if member and member.state in (MemberState.SUSPECTED, MemberState.DEAD)
        ]
        far = target.failure_domain != self.members.own.failure_domain
        rows += self._roster.gossip.take_rows(
            _MAX_ROWS_PER_DATAGRAM - len(rows),
            for_other_domain=far,
            without=frozenset({target.name, *(row.name for row in rows)}),
        )
        packet = Packet(
            kind,
            self.members.own,
            number,
            probe_target.name if probe_target else "",
            tuple(rows),
            self._domain_watch.ages(now_ms),
        )
        return Send(target.address, packet)

    def _remote_probe_delay_ms(self) -> int:
        return int(self._timings.remote_period_ms * self._random.uniform(0.8, 1.2))

    def _new_number(self) -> int:
        return self._random.randrange(1, _NUMBER_MODULUS)
