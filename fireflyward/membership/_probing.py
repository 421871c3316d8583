"""Decides which members to probe when, and when a suspicion expires."""

import random
from dataclasses import dataclass, field

from ._members import MemberState
from ._roster import Roster

_MAX_HELPERS = 3
_FAR_HELPERS = 1
_MAX_SUSPECT_PROBES = 3
_NUMBER_MODULUS = 1 << 31


@dataclass(frozen=True, slots=True)
class Timings:
    """Periods and limits of membership in milliseconds.

    A probe fails when no answer has arrived by the next period; until then it is
    resent at ``probe_resend_ms``, the last time also through other nodes.
    ``suspicion_ms`` is how long a suspected node has to refute the suspicion: a
    process that pauses for less than this is never declared dead.
    """

    tick_ms: int = 100
    probe_period_ms: int = 1_000
    probe_resend_ms: tuple[int, ...] = (200, 400, 600)
    suspicion_ms: int = 4_000
    remote_period_ms: int = 2_000
    sync_period_ms: int = 10_000
    join_period_ms: int = 1_000
    unreachable_after_ms: int = 15_000
    pause_ms: int = 1_000
    push_per_second: float = 2.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """A probe to send, directly and through ``helpers``; or one that failed."""

    name: str
    number: int = 0
    helpers: tuple[str, ...] = ()
    failed: bool = False


@dataclass(slots=True)
class _Probe:
    name: str
    number: int
    started_ms: int
    sent: int = 1


@dataclass(slots=True)
class _Suspicion:
    since_ms: int
    link_confirmed: bool = False
    number: int = 0


@dataclass(slots=True)
class Probing:
    """Probes the members of the own failure domain in turn, in random order.

    Only a node whose own probe failed lets the suspicion expire; a node that received
    the suspicion as gossip waits for the result. The time of a suspicion starts when
    any other node is in contact, which confirms that this node is not itself cut
    off. A node that receives nothing therefore declares no other node dead.
    """

    started_ms: int
    timings: Timings
    random: random.Random
    _order: list[str] = field(default_factory=list)
    _probe: _Probe | None = None
    _next_ms: int = 0
    _suspicion_by_name: dict[str, _Suspicion] = field(default_factory=dict)

    def __post_init__(self) -> None:
        wait_ms = self.random.randrange(self.timings.probe_period_ms)
        self._next_ms = self.started_ms + wait_ms

    def due(self, now_ms: int, roster: Roster) -> list[Attempt]:
        """Return the probes to send now and those that have failed."""
        if now_ms >= self._next_ms:
            return self._start_round(now_ms, roster)
        return self._resend(now_ms, roster)

    def on_ack(self, number: int) -> None:
        """Record that a probe was answered, directly or through another node.

        An answer of a suspected member does not end the suspicion, since other nodes
        have received the suspicion; it gives the member more time to refute.
        """
        if self._probe and self._probe.number == number:
            self._probe = None
        for suspicion in self._suspicion_by_name.values():
            if suspicion.number == number:
                suspicion.link_confirmed = False

    def suspect(self, now_ms: int, name: str) -> None:
        """Start a suspicion after a failed probe of this node."""
        self._suspicion_by_name.setdefault(name, _Suspicion(now_ms))

    def clear(self, name: str) -> None:
        """Remove the suspicion of a member: it was refuted, or the member is dead."""
        self._suspicion_by_name.pop(name, None)

    def on_link_confirmed(self, now_ms: int, sender: str) -> list[str]:
        """Record a message from ``sender``: this node is not itself cut off.

        Returns the members whose suspicion expired while this node received nothing.
        Those suspicions are removed, since this node's own link may have been broken.
        """
        withdrawn = []
        for name, suspicion in list(self._suspicion_by_name.items()):
            if suspicion.link_confirmed or name == sender:
                continue
            if self._has_expired(now_ms, suspicion):
                del self._suspicion_by_name[name]
                withdrawn.append(name)
                continue
            suspicion.link_confirmed = True
            suspicion.since_ms = now_ms
        return withdrawn

    def expired(self, now_ms: int) -> list[tuple[str, bool]]:
        """Return expired suspicions as pairs of name and ``link_confirmed``."""
        return [
            (name, suspicion.link_confirmed)
            for name, suspicion in self._suspicion_by_name.items()
            if self._has_expired(now_ms, suspicion)
        ]

    def on_pause(self, now_ms: int, paused_ms: int) -> None:
        """Extend all deadlines by a pause of this process."""
        self._probe = None
        self._next_ms = now_ms + self.timings.probe_period_ms
        for suspicion in self._suspicion_by_name.values():
            suspicion.since_ms += paused_ms

    def _has_expired(self, now_ms: int, suspicion: _Suspicion) -> bool:
        return now_ms - suspicion.since_ms >= self.timings.suspicion_ms

    def _start_round(self, now_ms: int, roster: Roster) -> list[Attempt]:
        attempts = []
        if self._probe:
            attempts.append(Attempt(self._probe.name, failed=True))
            self._probe = None
        self._next_ms = now_ms + self.timings.probe_period_ms
        suspected = [
            name
            for name, suspicion in self._suspicion_by_name.items()
            if roster.members.stored(name) is not None
        ]
        count = min(_MAX_SUSPECT_PROBES, len(suspected))
        for name in self.random.sample(suspected, count):
            number = self._new_number()
            self._suspicion_by_name[name].number = number
            attempts.append(Attempt(name, number, self._pick_helpers(name, roster)))
        name = self._next_name(roster)
        if name:
            self._probe = _Probe(name, self._new_number(), now_ms)
            attempts.append(Attempt(name, self._probe.number))
        return attempts

    def _resend(self, now_ms: int, roster: Roster) -> list[Attempt]:
        probe = self._probe
        resend_ms = self.timings.probe_resend_ms
        if probe is None or probe.sent > len(resend_ms):
            return []
        if now_ms - probe.started_ms < resend_ms[probe.sent - 1]:
            return []
        probe.sent += 1
        helpers: tuple[str, ...] = ()
        if probe.sent > len(resend_ms):
            helpers = self._pick_helpers(probe.name, roster)
        return [Attempt(probe.name, probe.number, helpers)]

    def _pick_helpers(self, name: str, roster: Roster) -> tuple[str, ...]:
        """Choose the nodes that probe a member on behalf of this node.

        One of them is in another failure domain: when half of a small domain is
        lost, no node of the same domain may be left to help, and when only links
        inside the domain are broken, a node outside still reaches both ends.
        """
        near = [
            member.name
            for member in roster.near()
            if member.name != name and member.state is not MemberState.SUSPECTED
        ]
        far = [member.name for member in roster.far()]
        helpers = self.random.sample(far, min(_FAR_HELPERS, len(far)))
        near_count = min(_MAX_HELPERS - len(helpers), len(near))
        return (*self.random.sample(near, near_count), *helpers)

    def _next_name(self, roster: Roster) -> str | None:
        near = {member.name for member in roster.near()}
        while self._order:
            name = self._order.pop()
            if name in near:
                return name
        self._order = sorted(near)
        self.random.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _new_number(self) -> int:
        return self.random.randrange(1, _NUMBER_MODULUS)
