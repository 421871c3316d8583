"""Whom to probe when, and how long a suspicion may stand."""

import random
from dataclasses import dataclass, field

from ._members import MemberState
from ._roster import Roster

_HELPERS = 3
_FAR_HELPERS = 1
_MAX_SUSPECT_PROBES = 3
_NUMBER_MODULUS = 1 << 31


@dataclass(frozen=True, slots=True)
class Timings:
    """Periods and limits of membership in milliseconds.

    A probe has until the next period; in between it is sent again, and once
    through others. ``suspicion_ms`` is what a suspected node has to refute: a
    process that pauses for less is never taken for dead.
    """

    tick_ms: int = 100
    probe_period_ms: int = 1_000
    probe_again_ms: tuple[int, ...] = (200, 400, 600)
    suspicion_ms: int = 4_000
    remote_period_ms: int = 2_000
    sync_period_ms: int = 10_000
    join_period_ms: int = 1_000
    unheard_ms: int = 15_000
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
    began_ms: int
    sent: int = 1


@dataclass(slots=True)
class _Suspicion:
    since_ms: int
    witnessed: bool = False
    number: int = 0


@dataclass(slots=True)
class Probing:
    """Probes the members of the own failure domain in turn, in random order.

    Only the node whose own probe failed lets a suspicion run out; others that
    heard of it wait for its word. Its clock starts when it hears from anybody
    else (a witness that it is not itself cut off), so a node that hears nobody
    declares nobody dead.
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
            return self._begin_round(now_ms, roster)
        return self._send_again(now_ms, roster)

    def on_ack(self, number: int) -> None:
        """Note that a probe was answered, by its member or through another.

        An answer of a suspected member takes nothing back by itself, since others
        were told of the suspicion; it gives the member more time to refute.
        """
        if self._probe and self._probe.number == number:
            self._probe = None
        for suspicion in self._suspicion_by_name.values():
            if suspicion.number == number:
                suspicion.witnessed = False

    def suspect(self, now_ms: int, name: str) -> None:
        """Begin a suspicion that this node found out itself."""
        self._suspicion_by_name.setdefault(name, _Suspicion(now_ms))

    def clear(self, name: str) -> None:
        """End the suspicion of a member: refuted, or settled by another."""
        self._suspicion_by_name.pop(name, None)

    def on_witness(self, now_ms: int, witness: str) -> list[str]:
        """Take a sign that this node is not itself cut off.

        Returns the members whose suspicion ran out while it was: they are not
        to blame, and their suspicion is void.
        """
        void = []
        for name, suspicion in list(self._suspicion_by_name.items()):
            if suspicion.witnessed or name == witness:
                continue
            if self._has_expired(now_ms, suspicion):
                del self._suspicion_by_name[name]
                void.append(name)
                continue
            suspicion.witnessed = True
            suspicion.since_ms = now_ms
        return void

    def expired(self, now_ms: int) -> list[tuple[str, bool]]:
        """Return the suspected who did not refute in time, and if witnessed."""
        return [
            (name, suspicion.witnessed)
            for name, suspicion in self._suspicion_by_name.items()
            if self._has_expired(now_ms, suspicion)
        ]

    def on_pause(self, now_ms: int, paused_ms: int) -> None:
        """Give everybody the time back in which this process stood still."""
        self._probe = None
        self._next_ms = now_ms + self.timings.probe_period_ms
        for suspicion in self._suspicion_by_name.values():
            suspicion.since_ms += paused_ms

    def _has_expired(self, now_ms: int, suspicion: _Suspicion) -> bool:
        return now_ms - suspicion.since_ms >= self.timings.suspicion_ms

    def _begin_round(self, now_ms: int, roster: Roster) -> list[Attempt]:
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

    def _send_again(self, now_ms: int, roster: Roster) -> list[Attempt]:
        probe = self._probe
        again_ms = self.timings.probe_again_ms
        if probe is None or probe.sent > len(again_ms):
            return []
        if now_ms - probe.began_ms < again_ms[probe.sent - 1]:
            return []
        probe.sent += 1
        helpers: tuple[str, ...] = ()
        if probe.sent > len(again_ms):
            helpers = self._pick_helpers(probe.name, roster)
        return [Attempt(probe.name, probe.number, helpers)]

    def _pick_helpers(self, name: str, roster: Roster) -> tuple[str, ...]:
        """Choose who else is to probe a member.

        One of them stands in another failure domain: when half of a small domain
        is gone nobody near may be left to ask, and when only links inside the
        domain are broken a far node still reaches both ends.
        """
        near = [
            member.name
            for member in roster.near()
            if member.name != name and member.state is not MemberState.SUSPECTED
        ]
        far = [member.name for member in roster.far()]
        helpers = self.random.sample(far, min(_FAR_HELPERS, len(far)))
        near_count = min(_HELPERS - len(helpers), len(near))
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
