"""How often a request may be sent to a second replica."""

from ._budget import RetryBudget

__all__ = ["RetryBudget"]
