"""Rendezvous hashing: who of several gets a key, worked out alike everywhere."""

from ._rank import rendezvous_rank

__all__ = ["rendezvous_rank"]
