"""Chooses a replica for each send of one request."""

from fireflyward.clock import Clock
from fireflyward.replicas import Choice, Chooser, ReplicaState

from ._prompt_requirements import PromptRequirements
from ._stream_version import StreamVersion


class ReplicaChoice:
    """Chooses among the replicas that may serve a request, first the untried ones.

    A stream that has not begun may use the other software versions too, if no replica
    of those where it may begin takes requests.
    """

    __slots__ = ("_chooser", "_clock", "_requirements", "_stream_version", "_tried")

    def __init__(
        self,
        chooser: Chooser,
        requirements: PromptRequirements,
        stream_version: StreamVersion,
        *,
        clock: Clock,
    ) -> None:
        self._chooser = chooser
        self._requirements = requirements
        self._stream_version = stream_version
        self._clock = clock
        self._tried: set[int] = set()

    def on_tried(self, replica: ReplicaState) -> None:
        """Leave a replica out of the next choices."""
        self._tried.add(replica.incarnation_id)

    def on_untried(self, replica: ReplicaState) -> None:
        """Consider a replica again."""
        self._tried.discard(replica.incarnation_id)

    def choose(self) -> Choice | None:
        """Choose a replica, a tried one only if there is no other."""
        software = self._stream_version.software()
        choice = self._choose(software, without=frozenset(self._tried))
        if choice is None and self._tried:
            choice = self._choose(software)
        if choice is None and software is not None:
            if not self._stream_version.has_begun:
                choice = self._choose(None)
        return choice

    def choose_untried(self) -> Choice | None:
        """Choose a replica that was not tried."""
        software = self._stream_version.software()
        return self._choose(software, without=frozenset(self._tried))

    def _choose(
        self, software: frozenset[str] | None, without: frozenset[int] = frozenset()
    ) -> Choice | None:
        now_ms = self._clock.now_ms()
        criteria = self._requirements.criteria(now_ms, software)
        return self._chooser.choose(now_ms, criteria, without=without)
