"""``fireflyward serve``: runs one node until a signal stops it."""

import asyncio
import contextlib
import logging
import signal

from fireflyward._held_signals import STOP_SIGNALS, HeldSignals
from fireflyward.connections import within
from fireflyward.invariants import InvariantBroken, add_listener
from fireflyward.settings import Settings
from fireflyward.supervision import SignalHandlers, log_loop_errors

from ._node import Node

log = logging.getLogger("fireflyward.daemon")

_CLOSE_TIMEOUT_MS = 2_000


async def serve(settings: Settings, held: HeldSignals | None = None) -> bool:
    """Run a node until SIGTERM or SIGINT; a second signal cuts open requests.

    ``held`` are the signals that arrived before; without it, signals have the same
    effect after this call as before. SIGHUP, if it is held, stops the node too.

    Return whether the node stopped as planned. A broken invariant stops it at once.
    Raise ``CannotListen`` if one of its addresses stays in use.
    """
    node = Node(settings)
    broken = asyncio.Event()

    def on_broken(found: InvariantBroken) -> None:
        node.metrics.count("invariants_broken_total", invariant=found.invariant.name)
        broken.set()

    stop_listening = add_listener(on_broken)
    log_loop_errors(asyncio.get_running_loop())
    own_signals = HeldSignals()
    try:
        return await _serve(node, broken, held or own_signals)
    finally:
        stop_listening()
        own_signals.release()


async def _serve(node: Node, broken: asyncio.Event, held: HeldSignals) -> bool:
    stop_requested = asyncio.Event()
    cut_requested = asyncio.Event()

    def on_signal() -> None:
        (cut_requested if stop_requested.is_set() else stop_requested).set()

    numbers = {*STOP_SIGNALS, *(held.numbers & {signal.SIGHUP})}
    with SignalHandlers(held, dict.fromkeys(numbers, on_signal)):
        if not await _start(node, stop_requested, broken):
            return not broken.is_set()
        await _wait_for_any(stop_requested, broken)
        return await _stop(node, cut_requested, broken)


async def _start(node: Node, *events: asyncio.Event) -> bool:
    """Start the node; if one of ``events`` is set first, close it and return False."""
    started = asyncio.Event()
    starting = asyncio.create_task(node.start())
    starting.add_done_callback(lambda task: started.set())
    await _wait_for_any(started, *events)
    if starting.done() and not starting.cancelled() and starting.exception() is None:
        return True
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)
    await _close_within_limit(node)
    if not starting.cancelled():
        starting.result()
    log.info("daemon: stopped during the start")
    return False


async def _stop(
    node: Node, cut_requested: asyncio.Event, broken: asyncio.Event
) -> bool:
    """Stop the node; return whether it stopped as planned."""
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
