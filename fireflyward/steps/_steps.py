"""Steps: the code names them, and the fault matrix visits each.

A duty declares its steps as a subclass of ``Step`` and calls its observer when it
reaches one. In the product the observer is ``ignore_step``. The fault matrix gives
its own, which stops a stand-in, cuts a link or raises as if the process had died;
it finds every step through ``Step.__subclasses__()``, so that a step which nobody
thought of testing makes the matrix fail.

    class PromptStep(Step):
        ROUTED = "prompt: routed"

    observe(PromptStep.ROUTED)
"""

import enum
from collections.abc import Callable


class Step(enum.StrEnum):
    """Base of the steps of a duty."""


StepObserver = Callable[[Step], None]


def ignore_step(step: Step) -> None:
    """Do nothing: the observer of a process that serves."""
