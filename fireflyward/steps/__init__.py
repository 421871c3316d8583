"""Named steps in the work of each component, at which tests inject faults."""

from ._steps import Step, StepObserver, ignore_step

__all__ = ["Step", "StepObserver", "ignore_step"]
