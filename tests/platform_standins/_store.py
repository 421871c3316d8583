"""Stand-in for the platform's store: rows, transactions and the change feed."""

import asyncio
import base64
import enum
import time

from ._http import RawServer, json_response, response

_PAGE_ROWS = 500
_ERA = "Store-Era"
# Operators and replicas write these tables. After a restore from an older snapshot
# they write the rows again that the snapshot lacks.
_EXTERNALLY_WRITTEN_TABLES = ("op", "servers")


class StoreBehavior(enum.Enum):
    """How the store answers requests."""

    NORMAL = "normal"
    BUSY = "busy"
    RATE_LIMITED = "rate limited"
    SILENT = "silent"
    DROPS_RESPONSES = "drops responses"
    HISTORY_LOST = "history lost"


class StoreStandIn(RawServer):
    """Keeps rows in memory; the operator and the replicas write with ``put``.

    ``era`` grows with each restore from an older snapshot. If it is None, no answer
    contains the era header. With ``refuses_writes`` only reads are served.
    ``passed_ms`` is time that passes at once, while nodes are suspended.
    """

    def __init__(self, page_rows=_PAGE_ROWS):
        super().__init__()
        self.behavior = StoreBehavior.NORMAL
        self.version = 0
        self.era = 1
        self.refuses_writes = False
        self.passed_ms = 0
        self._rows = {}
        self._lost_rows = {}
        self._log = []
        self._page_rows = page_rows
        self._silenced = set()
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
        self._append_to_log(row)

    def _remove(self, table, key, part):
        self._rows.pop((table, part, key), None)
        self._append_to_log({**self._row(table, part, key, ""), "deleted": True})

    def restore_snapshot(self, version, *, rewrite_lost=True):
        """Restore the snapshot of an earlier version.

        All connections are aborted, and later writes reuse the versions after the
        snapshot. The rows that operators and replicas wrote since then are written
        again at once, or later by ``rewrite_lost_rows``.
        """
        before = dict(self._rows)
        self._log = [row for row in self._log if row["ver"] <= version]
        self._rows = {}
        for row in self._log:
            row_key = row["table"], row["part"], row["key"]
            self._rows.pop(row_key, None)
            if not row.get("deleted"):
                self._rows[row_key] = row
        self.version = version
        if self.era is not None:
            self.era += 1
        for row_key in before.keys() | self._rows.keys():
            value = before.get(row_key, {}).get("value")
            if row_key[0] not in _EXTERNALLY_WRITTEN_TABLES:
                continue
            if value != self._rows.get(row_key, {}).get("value"):
                self._lost_rows[row_key] = value
        for writer in self._writers:
            writer.transport.abort()
        if rewrite_lost:
            self.rewrite_lost_rows()

    def restore_before_last_writes(self, writes, *, rewrite_lost=True):
        """Restore the snapshot from before the last ``writes`` versions."""
        self.restore_snapshot(max(1, self.version - writes), rewrite_lost=rewrite_lost)

    def rewrite_lost_rows(self):
        """Repeat the writes of operators and replicas that the snapshot lacks."""
        for (table, part, key), value in sorted(self._lost_rows.items()):
            if value is None:
                self.remove(table, key, part)
            else:
                self.put(table, key, base64.b64decode(value), part)
        self._lost_rows = {}

    def silence_open_connections(self):
        """Answer nothing on open connections from now on; new connections work."""
        self._silenced |= self._writers

    def value(self, table, key, part=""):
        row = self._rows.get((table, part, key))
        return None if row is None else base64.b64decode(row["value"])

    async def answer(self, request, writer):
        behavior = self.behavior
        if behavior is StoreBehavior.SILENT or writer in self._silenced:
            await asyncio.sleep(3_600)
        if behavior is StoreBehavior.BUSY:
            writer.write(response(503, headers=self._headers()))
            return True
        if self.refuses_writes and request.path == "/-/rows-tx":
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
        for condition in body["expected-revision"]:
            row_key = condition["table"], condition["part"], condition["key"]
            if self._rows.get(row_key, {"ver": 0})["ver"] != condition["ver"]:
                rows = [self._rows[row_key]] if row_key in self._rows else []
                return self._json({"rows": rows, **self._version_and_time()}, 412)
        # All rows of one transaction have the same version.
        self.version += 1
        for write in body["writes"]:
            value = base64.b64decode(write["value"])
            self._put(write["table"], write["key"], value, write["part"])
        for removed in body["remove"]:
            self._remove(removed["table"], removed["key"], removed["part"])
        return self._json(self._version_and_time())

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        rows = [
            row
            for row_key, row in sorted(self._rows.items())
            if row_key[:2] == (table, part) and row_key[2] >= query.get("from", "")
        ]
        page = rows[: self._page_rows]
        has_more = len(rows) > len(page)
        return self._json(
            {"rows": page, "has-more": has_more, **self._version_and_time()}
        )

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        if self.behavior is StoreBehavior.HISTORY_LOST or after > self.version:
            return response(410, headers=self._headers())
        deadline_s = (
            asyncio.get_running_loop().time() + int(query.get("wait-ms", 0)) / 1_000
        )
        while True:
            rows = [
                row for row in self._log if row["table"] == table and row["ver"] > after
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if rows or remaining_s <= 0:
                return self._json({"rows": rows, **self._version_and_time()})
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _row(self, table, part, key, value):
        key_fields = {"table": table, "part": part, "key": key}
        return {**key_fields, "value": value, "ver": self.version}

    def _append_to_log(self, row):
        self._log.append(row)
        self._changed.set()

    def _json(self, value, status=200):
        return json_response(value, status, self._headers())

    def _headers(self):
        return [] if self.era is None else [(_ERA, self.era)]

    def _now_ms(self):
        return int(time.monotonic() * 1_000) + self.passed_ms

    def _version_and_time(self):
        return {"ver": self.version, "now-ms": self._now_ms()}
