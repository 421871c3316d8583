"""Fakes of a table, a link and a connection pool."""

from fireflyward.backing import Committed, Conflict, Position, Unavailable
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.http1 import NotConnected


class FakeTable:
    """Stores rows and checks versions as the platform's store does."""

    def __init__(self):
        self.era = 1
        self.version = 0
        self.is_unavailable = False
        self.after_write = lambda: None
        self.row_by_key = {}

    @property
    def position(self):
        return Position(self.era, self.version)

    async def write(self, *, table, part, expected, puts, deletes=()):
        if self.is_unavailable:
            return Unavailable("away")
        have = {key: self._version_of(key) for key in expected}
        if have != {key: read.version for key, read in expected.items()}:
            return Conflict(have)
        self.version += 1
        for key, value in puts.items():
            self.row_by_key[key] = TableRow(key, value, self.position)
        for key in deletes:
            self.row_by_key.pop(key, None)
        result = Committed(dict.fromkeys(puts, self.version), self.era)
        self.after_write()
        return result

    def full_read(self):
        rows = tuple(self.row_by_key.values())
        return TableUpdate(rows, True, 0, position=self.position)

    def _version_of(self, key):
        row = self.row_by_key.get(key)
        return row.position.version if row else 0


class FakeLink:
    """Records the sent messages, and delivers them to the handlers of another link."""

    def __init__(self):
        self.sent = []
        self.handler_by_kind = {}

    def register(self, kind, struct_type, handle):
        self.handler_by_kind[kind] = handle

    def send_all(self, addresses, kind, message):
        self.sent.append((kind, message))

    async def deliver_to(self, other):
        for kind, message in self.sent:
            await other.handler_by_kind[kind]("sender", message)


class FakePool:
    """Opens connections, except to addresses that refuse them or are silent."""

    def __init__(self):
        self.refused = set()
        self.silent = set()
        self.opened = []

    async def acquire(self, address, *, connect_ms, fresh=False, without=()):
        self.opened.append(address)
        if address in self.refused:
            return NotConnected("refused", is_refused=True)
        if address in self.silent:
            return NotConnected("no connection in 350 ms")
        return object()

    def release(self, connection):
        pass
