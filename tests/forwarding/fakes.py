"""Connections that take a request and never answer, for tests of what happens then."""

import asyncio


class SilentConnection:
    """Tells by ``sent`` that a request went out on it."""

    def __init__(self, address=""):
        self.address = address
        self.sent = asyncio.Event()
        self.is_closed = False

    def send(self, method, target, headers, body):
        self.sent.set()

    async def next_event_within(self, limit_ms):
        await asyncio.Event().wait()

    def close(self):
        self.is_closed = True
