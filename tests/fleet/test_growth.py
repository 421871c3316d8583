"""What a node keeps of requests whose every value is new."""

import collections
import types

from .node_fixtures import KEY, STREAM, NodeTestCase

_REQUESTS = 60
# Entries that may be kept for the requests of both rounds together.
_MAX_MORE = 20
# These are limited by a number of entries or by a time.
_LIMITED = frozenset(
    (
        "Completions._last_ms_by_part",
        "StreamStarts._start_by_key",
        "_Recent.sent_ms",
        "_SendTimes.request_ms",
    )
)


class _Sizes:
    """The sizes of all containers that an object of this project refers to."""

    def __init__(self, root):
        self.by_owner = {}
        self._seen = set()
        self._left = [(root, "")]
        while self._left:
            self._visit(*self._left.pop())

    def _visit(self, found, owner):
        if id(found) in self._seen:
            return
        self._seen.add(id(found))
        if isinstance(found, dict | list | set | collections.deque):
            size = max(len(found), self.by_owner.get(owner, 0))
            self.by_owner[owner] = size
        if isinstance(found, dict):
            self._add(owner, (*found.keys(), *found.values()))
        elif isinstance(found, list | set | tuple | frozenset | collections.deque):
            self._add(owner, found)
        elif isinstance(found, types.MethodType):
            self._add(owner, [found.__self__])
        elif isinstance(found, types.FunctionType):
            self._add(owner, _cell_contents(found))
        elif type(found).__module__.startswith("fireflyward"):
            for name in _attributes(found):
                if hasattr(found, name):
                    self._add(f"{type(found).__name__}.{name}", [getattr(found, name)])

    def _add(self, owner, values):
        self._left += [(value, owner) for value in values]


def _attributes(found):
    for each in type(found).__mro__:
        slots = each.__dict__.get("__slots__", ())
        yield from (slots,) if isinstance(slots, str) else slots
    yield from getattr(found, "__dict__", ())


def _cell_contents(function):
    for cell in function.__closure__ or ():
        try:
            yield cell.cell_contents
        except ValueError:
            continue


class GrowthTests(NodeTestCase):
    async def send(self, number):
        """Send requests of each kind that differ from all others."""
        key = {"Authorization": f"Bearer k{number}"}
        stream = {**STREAM, **key}
        parts = f"a{number}:500,b{number}:400"
        resumed = {"Resumes": f"f{number}", "Last-Event-ID": "3"}
        for path, headers in (
            (f"/r/{number}", key),
            (f"/unknown-{number}/x", KEY),
            ("/r/x", {"Authorization": f"Bearer unknown-{number}"}),
            ("/s/x", {**stream, "X-Model": f"unknown-{number}"}),
            ("/s/x", {**stream, "X-Prompt-Prefix": parts}),
            ("/s/x", {**stream, **resumed}),
            ("/w/x", {**key, "X-Deadline-Ms": str(3_000 + number)}),
        ):
            host = f"host-{number}.example" if "unknown" in path else "h.example"
            await self.fetch(
                "POST", path, headers=headers, host=host, data=f"body {number}".encode()
            )

    async def test_nothing_grows_with_the_requests(self):
        """Guards against a node that is killed after some hours for its memory."""
        self.operator.configuration["tenants"] += [
            {"name": f"t{number}", "api-keys": [f"k{number}"], "priority": 1}
            for number in range(3 * _REQUESTS)
        ]
        await self.start_ready()
        for number in range(_REQUESTS):
            await self.send(number)
        before = _Sizes(self.node).by_owner
        for number in range(_REQUESTS, 3 * _REQUESTS):
            await self.send(number)
        after = _Sizes(self.node).by_owner
        grown = {
            owner: (before.get(owner, 0), size)
            for owner, size in after.items()
            if size - before.get(owner, 0) > _MAX_MORE and owner not in _LIMITED
        }
        self.assertGreater(len(after), 100)
        self.assertEqual(grown, {})
