"""Whether a request may be sent, and what its sends tell of it."""

from fireflyward.quarantine import TRIAL_ENDED, Held, Trial
from fireflyward.replicas import Choice, ReplicaState

from ._messages import Failed, SendResult, Streamed, WholeAnswer
from ._tools import SendGate

# A replica whose queue is shorter than this begins on a request about as soon as it
# has it: a step of its batch takes 3 ms and more.
_BEGINS_AT_ONCE_MS = 10.0


class SendCheck:
    """Asks the gate before each send, and tells it what each came to.

    An earlier send of the same request may have been at the third replica that ended
    under it, and a trial is the right to one send; so no leave lasts for a second.
    """

    __slots__ = ("_begun_at", "_fingerprint", "_gate", "_is_sent", "_trial")

    def __init__(self, gate: SendGate, fingerprint: str) -> None:
        self._gate = gate
        self._fingerprint = fingerprint
        self._trial: Trial | None = None
        self._is_sent = False
        self._begun_at: ReplicaState | None = None

    async def held_back(self) -> Held | None:
        """Return why no replica may get the request now, None if one may."""
        if self._trial is not None:
            return TRIAL_ENDED if self._is_sent else None
        admitted = await self._gate.admit(self._fingerprint)
        if isinstance(admitted, Trial):
            self._trial = admitted
            self._is_sent = False
        return admitted if isinstance(admitted, Held) else None

    def on_unreached(self, replica: ReplicaState, *, is_refused: bool) -> None:
        """Take a connection that did not come about."""
        if is_refused:
            self._gate.on_refused(replica)

    def on_sending(self, choice: Choice) -> None:
        """Note that the request goes to a replica."""
        self._is_sent = True
        begins_at_once = choice.queue_ms < _BEGINS_AT_ONCE_MS
        self._begun_at = choice.replica if begins_at_once else None

    def on_result(self, replica: ReplicaState, result: SendResult) -> None:
        """Tell the gate whether the replica survived the request."""
        match result:
            case Failed():
                self._gate.on_cut(self._fingerprint, replica, is_late=result.is_late)
            case Streamed():
                self._gate.on_answered(self._fingerprint)
            case WholeAnswer(is_success=True):
                self._gate.on_answered(self._fingerprint)

    def end(self) -> None:
        """Give back what the request holds of the gate."""
        if self._trial is not None:
            self._gate.end_trial(
                self._trial, was_sent=self._is_sent, begun_at=self._begun_at
            )
