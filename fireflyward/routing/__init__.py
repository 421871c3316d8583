"""Choosing the replica that serves a run."""

from ._router import Candidate, Router, RunShape

__all__ = ["Candidate", "Router", "RunShape"]
