"""Limits how many requests are sent again to another replica."""

from ._budget import RetryBudget

__all__ = ["RetryBudget"]
