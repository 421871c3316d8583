"""The cost of long prompts at a replica that is slow at the moment."""

from fireflyward.replicas import LoadEstimate, ReplicaState, Requirements

from ._pause_times import PauseTimes, ServicePauses

# Prompts that are sent to a replica before the other nodes' totals contain this one. On
# a fleet with 20 prompts per replica and second, three arrive within the 150 ms that a
# total takes.
_PROMPTS_AT_ONCE = 4
# Part of the room that is left to small prompts where others are read already. Without
# any, no answer would show when the slow phase ends.
_MIN_ROOM_SHARE = 0.25


class PauseTerm:
    """Keeps prompts away from slow replicas where streams would pause too long; no I/O.

    A replica reads prompts between the decoding steps of its streams, so their pauses
    get longer. At usual speed that is still in time; in a slow phase it may not be. The
    cost depends on how much of the reading that fits between two events the prompt
    takes. It is at most the time until the reported speed expires: it isn't worth
    waiting elsewhere for longer. If all replicas are slow, the costs are compared.
    ``raised`` counts the replicas that were compared at an additional cost.
    """

    __slots__ = ("_pauses", "raised")

    def __init__(self, pauses: PauseTimes) -> None:
        self._pauses = pauses
        self.raised = 0

    def cost_ms(
        self,
        now_ms: int,
        state: ReplicaState,
        load: LoadEstimate,
        requirements: Requirements,
    ) -> float:
        """Return the additional cost of sending a request to a replica."""
        if not requirements.pause_ms or state.speed.percent is None:
            return 0.0
        factor = state.speed.factor(now_ms)
        if factor <= 1.0:
            return 0.0
        pauses = self._pauses.of_service(requirements.service)
        target_ms = requirements.pause_ms / factor
        if pauses is None or pauses.long_ms <= target_ms:
            return 0.0
        self.raised += 1
        return state.speed.left_ms(now_ms) * _share(pauses, target_ms, load)


def _share(pauses: ServicePauses, target_ms: float, load: LoadEstimate) -> float:
    """Return the part of the possible reading between two events that a prompt takes.

    All times are those at the usual speed.
    """
    free_ms = target_ms - pauses.usual_ms
    if free_ms <= 0:
        return 1.0
    room_ms = free_ms - load.queue_ms / load.work_factor
    room_ms = max(room_ms, _MIN_ROOM_SHARE * free_ms)
    return min(1.0, _PROMPTS_AT_ONCE * load.new_ms / room_ms)
