"""Steps, which the code declares and at each of which the fault matrix injects faults.

A component declares its steps as a subclass of ``Step`` and calls its observer when
it reaches a step. In production the observer is ``ignore_step``. The fault matrix
passes its own observer, which stops a stand-in, cuts a link, or raises an exception
to simulate a crash of the process. The matrix finds every step through
``Step.__subclasses__()`` and fails if it does not cover a step.

    class PromptStep(Step):
        ROUTED = "prompt: routed"

    observe(PromptStep.ROUTED)
"""

import enum
from collections.abc import Callable


class Step(enum.StrEnum):
    """Base class of the steps of a component."""


StepObserver = Callable[[Step], None]


def ignore_step(step: Step) -> None:
    """Do nothing; this is the observer in production."""
