"""The three outcomes of a request, and the reasons that come with them."""

from ._outcomes import Answered, NotRun, Outcome, Reason, Unknown, Usage

__all__ = ["Answered", "NotRun", "Outcome", "Reason", "Unknown", "Usage"]
