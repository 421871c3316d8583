"""Rendezvous hashing: every node assigns a key to the same one of several names."""

from ._rank import rendezvous_rank

__all__ = ["rendezvous_rank"]
