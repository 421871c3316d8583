"""Named points in the work of each duty, at which tests bring faults about."""

from ._steps import Step, StepObserver, ignore_step

__all__ = ["Step", "StepObserver", "ignore_step"]
