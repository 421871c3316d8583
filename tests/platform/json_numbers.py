"""Finds and changes the numbers of a decoded JSON value."""

import json


def figures(value, where=()):
    """Return where numbers stand in nested maps and lists, as keys and indexes."""
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return [where] if type(value) in (int, float) else []
    return [found for key, item in items for found in figures(item, (*where, key))]


def changed(value, where, new):
    """Return a copy of a decoded JSON value with ``new(old)`` at one place."""
    copy = json.loads(json.dumps(value))
    *steps, last = where
    at = copy
    for step in steps:
        at = at[step]
    at[last] = new(at[last])
    return copy
