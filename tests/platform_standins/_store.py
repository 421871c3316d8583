"""The platform's store: rows, transactions, the feed."""

import asyncio
import base64
import enum

from ._http import RawServer, json_response, response

_PAGE_ROWS = 500
_ERA = "Store-Era"
# Written by operators and replicas, who write again what an older copy lacks.
_TABLES_OF_OTHERS = ("op", "servers")


class StoreBehavior(enum.Enum):
    """How the store answers."""

    NORMAL = "well"
    BUSY = "busy"
    RATE_LIMITED = "too many"
    SILENT = "silent"
    DROPS_RESPONSES = "loses answers"
    HISTORY_LOST = "forgets"


class StoreStandIn(RawServer):
    """Keeps rows in memory; ``put`` is the operator's and the replicas' way in.

    ``era`` counts the times that it came back from an older copy; None has it left out
    of all answers.
    """

    def __init__(self, page_rows=_PAGE_ROWS):
        super().__init__()
        self.behavior = StoreBehavior.NORMAL
        self.version = 0
        self.era = 1
        self._rows = {}
        self._lost = {}
        self._log = []
        self._page_rows = page_rows
        self._changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        self.version += 1
        self._put(table, key, value, part)

    def remove(self, table, key, part=""):
        self.version += 1
        self._remove(table, key, part)

    def _put(self, table, key, value, part):
        row = self._row(table, part, key, base64.b64encode(value).decode())
        self._rows[table, part, key] = row
        self._note(row)

    def _remove(self, table, key, part):
        self._rows.pop((table, part, key), None)
        self._note({**self._row(table, part, key, ""), "deleted": True})

    def restore_snapshot(self, version, *, rewrite_lost=True):
        """Come back from the copy of an earlier version, as in a drill.

        All connections are cut, later versions are given out again, and what
        operators and replicas wrote since is written again now or by ``rewrite_lost_rows``.
        """
        before = dict(self._rows)
        self._log = [row for row in self._log if row["ver"] <= version]
        self._rows = {}
        for row in self._log:
            place = row["table"], row["part"], row["key"]
            self._rows.pop(place, None)
            if not row.get("deleted"):
                self._rows[place] = row
        self.version = version
        if self.era is not None:
            self.era += 1
        for place in before.keys() | self._rows.keys():
            value = before.get(place, {}).get("value")
            if place[0] not in _TABLES_OF_OTHERS:
                continue
            if value != self._rows.get(place, {}).get("value"):
                self._lost[place] = value
        for writer in self._writers:
            writer.transport.abort()
        if rewrite_lost:
            self.rewrite_lost_rows()

    def restore_before_last_writes(self, writes, *, rewrite_lost=True):
        """Come back from the copy before so many writes."""
        self.restore_snapshot(max(1, self.version - writes), rewrite_lost=rewrite_lost)

    def rewrite_lost_rows(self):
        """Write again what operators and replicas wrote after the copy."""
        for (table, part, key), value in sorted(self._lost.items()):
            if value is None:
                self.remove(table, key, part)
            else:
                self.put(table, key, base64.b64decode(value), part)
        self._lost = {}

    def value(self, table, key, part=""):
        row = self._rows.get((table, part, key))
        return None if row is None else base64.b64decode(row["value"])

    async def answer(self, request, writer):
        behavior = self.behavior
        if behavior is StoreBehavior.SILENT:
            await asyncio.sleep(3_600)
        if behavior is StoreBehavior.BUSY:
            writer.write(response(503, headers=self._headers()))
            return True
        if behavior is StoreBehavior.RATE_LIMITED:
            writer.write(response(429, headers=self._headers()))
            return True
        answer = await self._call(request)
        if behavior is StoreBehavior.DROPS_RESPONSES and request.method == "POST":
            return False
        writer.write(answer)
        return True

    async def _call(self, request):
        if request.path == "/-/rows-tx":
            return self._transact(request.json())
        if request.path == "/-/rows-get":
            return self._get(request.query)
        if request.path == "/-/rows-feed":
            return await self._feed(request.query)
        return response(404)

    def _transact(self, body):
        for wanted in body["expected-revision"]:
            place = wanted["table"], wanted["part"], wanted["key"]
            if self._rows.get(place, {"ver": 0})["ver"] != wanted["ver"]:
                rows = [self._rows[place]] if place in self._rows else []
                return self._json({"rows": rows, **self._now()}, 412)
        # All rows of one transaction have the same version.
        self.version += 1
        for write in body["writes"]:
            value = base64.b64decode(write["value"])
            self._put(write["table"], write["key"], value, write["part"])
        for removed in body["remove"]:
            self._remove(removed["table"], removed["key"], removed["part"])
        return self._json(self._now())

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        rows = [
            row
            for place, row in sorted(self._rows.items())
            if place[:2] == (table, part) and place[2] >= query.get("from", "")
        ]
        page = rows[: self._page_rows]
        more = len(rows) > len(page)
        return self._json({"rows": page, "has-more": more, **self._now()})

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        if self.behavior is StoreBehavior.HISTORY_LOST or after > self.version:
            return response(410, headers=self._headers())
        due = asyncio.get_running_loop().time() + int(query.get("wait-ms", 0)) / 1_000
        while True:
            rows = [
                row for row in self._log if row["table"] == table and row["ver"] > after
            ]
            left = due - asyncio.get_running_loop().time()
            if rows or left <= 0:
                return self._json({"rows": rows, **self._now()})
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _row(self, table, part, key, value):
        where = {"table": table, "part": part, "key": key}
        return {**where, "value": value, "ver": self.version}

    def _note(self, row):
        self._log.append(row)
        self._changed.set()

    def _json(self, value, status=200):
        return json_response(value, status, self._headers())

    def _headers(self):
        return [] if self.era is None else [(_ERA, self.era)]

    def _now(self):
        return {"ver": self.version, "now-ms": 0}
