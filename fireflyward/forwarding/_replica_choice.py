"""Chooses a replica for each send of one request."""

from fireflyward.clock import Clock
from fireflyward.replicas import Choice, Chooser, ReplicaState

from ._prompt_requirements import PromptRequirements
from ._stream_version import StreamVersion


class ReplicaChoice:
    """Chooses among the replicas that may serve a request, first the untried ones."""

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
        choice = self.choose_untried()
        return self._choose() if choice is None and self._tried else choice

    def choose_untried(self) -> Choice | None:
        """Choose a replica that was not tried."""
        return self._choose(without=frozenset(self._tried))

    def _choose(self, without: frozenset[int] = frozenset()) -> Choice | None:
        now_ms = self._clock.now_ms()
        software = self._stream_version.software()
        criteria = self._requirements.criteria(now_ms, software)
        return self._chooser.choose(now_ms, criteria, without=without)
