"""Entries of replicas and prompts for tests."""

from fireflyward.deployment import ModelWeights, ReplicaEntry
from fireflyward.replicas import UnreadPrompt


def entry(name, *, service="s", zone="a", leaving=False, version=None, slots=4):
    weights = () if version is None else (ModelWeights("m", version),)
    return ReplicaEntry(
        name, service, f"{name}:80", zone, slots, leaving, weights=weights
    )


def unread(tokens, *, begin_ms=0, end_ms=100):
    return UnreadPrompt(tokens, begin_ms=begin_ms, end_ms=end_ms)
