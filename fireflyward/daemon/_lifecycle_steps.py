"""The named steps of a node's start and of its planned stop."""

from fireflyward.steps import Step


class StartStep(Step):
    """The steps of a node's start, in order."""

    LINK_OPEN = "start: peer link open"
    PORT_OPEN = "start: port for callers open"
    DUTIES_BEGUN = "start: duties begun"
    READY = "start: ready"


class StopStep(Step):
    """The steps of a node's planned stop, in order.

    The hard limit or a second signal skips to ``CUT``.
    """

    READINESS_GONE = "stop: readiness gone"
    PEERS_TOLD = "stop: peers told"
    HANDED_ON = "stop: duties handed on"
    BALANCER_WAITED = "stop: balancer had its time"
    KEEP_ALIVE_ENDED = "stop: keep-alive connections close"
    DRAINED = "stop: requests ran out"
    CUT = "stop: requests cut"
    CLOSED = "stop: closed"
