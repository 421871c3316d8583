"""A connection that never answers, for tests of replicas that do not respond."""

import asyncio


class SilentConnection:
    """Accepts a request, which sets ``sent``, and never returns a response."""

    relay = ""
    label = "port 1, 0 responses"

    skipped = 0

    def __init__(self, address=""):
        self.address = address
        self.sent = asyncio.Event()
        self.is_closed = False

    def send(self, method, target, headers, body, **naming):
        self.sent.set()

    async def next_event_within(self, limit_ms):
        await asyncio.Event().wait()

    def close(self):
        self.is_closed = True
