"""Requests that end the replicas that run them."""

from ._fingerprint import fingerprint_of

__all__ = ["fingerprint_of"]
