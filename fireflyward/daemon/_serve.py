"""``fireflyward serve``: one node until a signal stops it."""

import asyncio
import contextlib
import logging
import signal

from fireflyward.connections import within
from fireflyward.invariants import InvariantBroken, add_listener
from fireflyward.settings import Settings

from ._node import Node

log = logging.getLogger("fireflyward.daemon")

_CLOSE_LIMIT_MS = 2_000


async def serve(settings: Settings) -> bool:
    """Run a node until SIGTERM or SIGINT; a second signal cuts what is left.

    Return whether it stopped as planned; a broken invariant stops it at once.
    """
    node = Node(settings)
    broken = asyncio.Event()

    def on_broken(found: InvariantBroken) -> None:
        node.metrics.count("invariants_broken_total", invariant=found.invariant.name)
        broken.set()

    stop_listening = add_listener(on_broken)
    try:
        return await _serve(node, broken)
    finally:
        stop_listening()


async def _serve(node: Node, broken: asyncio.Event) -> bool:
    stop_asked = asyncio.Event()
    cut_asked = asyncio.Event()

    def on_signal() -> None:
        (cut_asked if stop_asked.is_set() else stop_asked).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await node.start()
    await _any_of(stop_asked, broken)
    if not broken.is_set():
        draining = asyncio.create_task(node.stop())
        drained = asyncio.Event()
        draining.add_done_callback(lambda task: drained.set())
        await _any_of(drained, cut_asked, broken)
        if not broken.is_set():
            await _cut(node, drained)
        if drained.is_set() and not broken.is_set():
            draining.result()
            return True
        draining.cancel()
    await _close_soon(node)
    return not broken.is_set()


async def _cut(node: Node, drained: asyncio.Event) -> None:
    """Have the stop log and end what is left; nothing is left when it drained."""
    node.cut()
    with contextlib.suppress(TimeoutError):
        await within(node.clock, _CLOSE_LIMIT_MS, drained.wait())


async def _any_of(*events: asyncio.Event) -> None:
    tasks = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


async def _close_soon(node: Node) -> None:
    """Close without the time that the HTTP library gives to open requests."""
    try:
        await within(node.clock, _CLOSE_LIMIT_MS, node.close())
    except TimeoutError:
        log.warning("daemon: open requests were cut")
    except InvariantBroken:
        # The HTTP library hands on what ended a handler; it was told already.
        log.warning("daemon: closed with a broken invariant")
