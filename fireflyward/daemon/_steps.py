"""The named points in a node's start and in its planned stop."""

from fireflyward.steps import Step


class StartStep(Step):
    """A node's start."""

    LISTENING = "start: listening"
    LINKED = "start: linked to peers"
    BUNDLE_SOUGHT = "start: bundle sought"
    LOADS_KNOWN = "start: loads known"


class StopStep(Step):
    """A node's planned stop."""

    UNREADY = "stop: unready"
    DRAINED = "stop: drained"
    TASKS_ENDED = "stop: tasks ended"
    LISTENER_CLOSED = "stop: listener closed"
    LINK_CLOSED = "stop: link closed"
