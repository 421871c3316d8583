"""Finds and replaces numbers in a decoded JSON value."""

import json


def number_paths(value, where=()):
    """Return the paths of all numbers in nested maps and lists, as keys and indexes."""
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return [where] if type(value) in (int, float) else []
    return [found for key, item in items for found in number_paths(item, (*where, key))]


def with_changed_number(value, where, new):
    """Return a copy of a decoded JSON value with ``new(old)`` at one path."""
    copy = json.loads(json.dumps(value))
    *steps, last = where
    parent = copy
    for step in steps:
        parent = parent[step]
    parent[last] = new(parent[last])
    return copy
