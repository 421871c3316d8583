"""The named steps of a run, at which the fault matrix injects faults."""

from fireflyward.steps import Step


class PromptStep(Step):
    """Steps of every prompt."""

    CHOOSING = "prompt: choosing"
    CHOSEN = "prompt: chosen"
    PREPARED = "prompt: prepared"
    DISPATCHING = "prompt: dispatching"
    ACCEPTED = "prompt: accepted"
    DELIVERING = "prompt: delivering"
    ENDED = "prompt: ended"


class StreamStep(Step):
    """Further steps of a run whose stream fails or whose caller leaves."""

    SILENT = "stream: silent"
    RESUMING = "stream: resuming"
    RESUMED = "stream: resumed"
    WAITING = "stream: waiting before another replica"
    CANCELLING = "stream: cancelling"
    CALLER_GONE = "stream: caller gone"


class OnceStep(Step):
    """Further steps of a non-idempotent request."""

    CLAIMING = "once: claiming"
    CLAIMED = "once: claimed"
    DISPATCHING = "once: dispatching"
    SETTLING = "once: settling"
    SETTLED = "once: settled"
