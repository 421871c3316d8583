"""Checks the quarantine before each send of a request, and reports the results."""

from fireflyward.poison import PartGate, PartOnTrial
from fireflyward.quarantine import TRIAL_ENDED, Held, Trial
from fireflyward.replicas import Choice, ReplicaState

from ._interfaces import QuarantineGate
from ._messages import Failed, SendResult, Streamed, WholeAnswer

# A replica with a shorter queue than this begins on a request about as soon as it
# receives it: one step of its batch takes 3 ms or more.
_IMMEDIATE_START_QUEUE_MS = 10.0


class QuarantineCheck:
    """Requests admission from the gate for each send, and reports the send's result.

    Each send needs a permission of its own: the previous send of the same request may
    have crashed the third replica, and a trial permits only one send.
    """

    __slots__ = (
        "_begun_at",
        "_fingerprint",
        "_gate",
        "_is_part_on_trial",
        "_is_sent",
        "_part_gate",
        "_parts",
        "_trial",
    )

    def __init__(
        self,
        gate: QuarantineGate,
        fingerprint: str,
        part_gate: PartGate,
        parts: tuple[int, ...],
    ) -> None:
        """``parts`` are the keys of the prompt's shared parts."""
        self._gate = gate
        self._fingerprint = fingerprint
        self._part_gate = part_gate
        self._parts = parts
        self._is_part_on_trial = False
        self._trial: Trial | None = None
        self._is_sent = False
        self._begun_at: ReplicaState | None = None

    @property
    def is_on_trial(self) -> bool:
        """Return whether the request has a trial, which permits a single send."""
        return self._trial is not None or self._is_part_on_trial

    async def admit(self) -> Held | None:
        """Return why the request must not be sent now, None if it may be."""
        if self.is_on_trial:
            return TRIAL_ENDED if self._is_sent else None
        admitted = await self._gate.admit(self._fingerprint)
        if isinstance(admitted, Held):
            return admitted
        if isinstance(admitted, Trial):
            self._trial = admitted
        admitted_parts = await self._part_gate.admit(self._parts)
        self._is_part_on_trial = isinstance(admitted_parts, PartOnTrial)
        if self.is_on_trial:
            self._is_sent = False
        return admitted_parts if isinstance(admitted_parts, Held) else None

    def on_connect_failed(self, replica: ReplicaState, *, is_refused: bool) -> None:
        """Handle a connection that could not be opened."""
        if is_refused:
            self._gate.on_refused(replica)

    def on_send(self, choice: Choice) -> None:
        """Record that the request is sent to a replica."""
        self._is_sent = True
        begins_at_once = choice.queue_ms < _IMMEDIATE_START_QUEUE_MS
        self._begun_at = choice.replica if begins_at_once else None

    def on_not_sent(self) -> None:
        """Record that the connection was lost before any byte of the request."""
        self._is_sent = False
        self._begun_at = None

    def on_result(self, replica: ReplicaState, result: SendResult) -> None:
        """Report to the gate whether the replica survived the request."""
        match result:
            case Failed():
                # The quarantine may find at once that the replica has crashed.
                self._part_gate.on_cut(self._parts, replica)
                self._gate.on_cut(self._fingerprint, replica, is_late=result.is_late)
            case Streamed() | WholeAnswer(is_success=True):
                self._part_gate.on_answered(self._parts)
                self._gate.on_answered(self._fingerprint)

    def close(self) -> None:
        """Return the request's trial to the gate, if it has one."""
        if self._trial is not None:
            self._gate.end_trial(
                self._trial, was_sent=self._is_sent, begun_at=self._begun_at
            )
