"""The named points of a run, at which the fault matrix strikes."""

from fireflyward.steps import Step


class PromptStep(Step):
    """Points that every prompt passes."""

    CHOOSING = "prompt: choosing"
    CHOSEN = "prompt: chosen"
    PREPARED = "prompt: prepared"
    DISPATCHING = "prompt: dispatching"
    ACCEPTED = "prompt: accepted"
    DELIVERING = "prompt: delivering"
    ENDED = "prompt: ended"


class StreamStep(Step):
    """Points that a run passes when its stream is disturbed."""

    SILENT = "stream: silent"
    RESUMING = "stream: resuming"
    RESUMED = "stream: resumed"
    WAITING = "stream: waiting before another replica"
    CANCELLING = "stream: cancelling"
    CALLER_GONE = "stream: caller gone"


class OnceStep(Step):
    """Points that a non-idempotent request passes besides."""

    CLAIMING = "once: claiming"
    CLAIMED = "once: claimed"
    DISPATCHING = "once: dispatching"
    SETTLING = "once: settling"
    SETTLED = "once: settled"
