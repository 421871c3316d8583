"""``fireflyward serve``: runs one node until a signal stops it."""

import asyncio
import contextlib
import logging
import signal

from fireflyward.connections import within
from fireflyward.invariants import InvariantBroken, add_listener
from fireflyward.settings import Settings

from ._node import Node

log = logging.getLogger("fireflyward.daemon")

_CLOSE_TIMEOUT_MS = 2_000


async def serve(settings: Settings) -> bool:
    """Run a node until SIGTERM or SIGINT; a second signal cuts open requests.

    Return whether the node stopped as planned. A broken invariant stops it at once.
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
    stop_requested = asyncio.Event()
    cut_requested = asyncio.Event()

    def on_signal() -> None:
        (cut_requested if stop_requested.is_set() else stop_requested).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await node.start()
    await _wait_for_any(stop_requested, broken)
    if not broken.is_set():
        draining = asyncio.create_task(node.stop())
        drained = asyncio.Event()
        draining.add_done_callback(lambda task: drained.set())
        await _wait_for_any(drained, cut_requested, broken)
        if not broken.is_set():
            await _cut(node, drained)
        if drained.is_set() and not broken.is_set():
            draining.result()
            return True
        draining.cancel()
    await _close_within_limit(node)
    return not broken.is_set()


async def _cut(node: Node, drained: asyncio.Event) -> None:
    """Let the planned stop log and cancel the remaining requests, if there are any."""
    node.cut()
    with contextlib.suppress(TimeoutError):
        await within(node.clock, _CLOSE_TIMEOUT_MS, drained.wait())


async def _wait_for_any(*events: asyncio.Event) -> None:
    tasks = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


async def _close_within_limit(node: Node) -> None:
    """Close the node without the grace period that aiohttp gives to open requests."""
    try:
        await within(node.clock, _CLOSE_TIMEOUT_MS, node.close())
    except TimeoutError:
        log.warning("daemon: open requests were cut")
    except InvariantBroken:
        # aiohttp re-raises the error that ended a handler. The listener of broken
        # invariants has already counted it.
        log.warning("daemon: closed with a broken invariant")
