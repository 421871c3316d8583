"""``fireflyward serve``: one node until a signal stops it."""

import asyncio
import signal

from fireflyward.settings import Settings

from ._node import Node


async def serve(settings: Settings) -> None:
    """Run a node until SIGTERM or SIGINT; a second signal cuts what is left."""
    node = Node(settings)
    stop_asked = asyncio.Event()
    cut_asked = asyncio.Event()

    def on_signal() -> None:
        (cut_asked if stop_asked.is_set() else stop_asked).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await node.start()
    await stop_asked.wait()
    draining = asyncio.create_task(node.stop())
    cutting = asyncio.create_task(cut_asked.wait())
    await asyncio.wait({draining, cutting}, return_when=asyncio.FIRST_COMPLETED)
    cutting.cancel()
    if not draining.done():
        draining.cancel()
        await node.close()
