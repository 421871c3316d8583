"""One driver for each procedure; each returns when its part is over."""

import asyncio

from fireflyward.backing import Committed
from fireflyward.kept import Wanted

from ._callers import MODEL
from ._simulation import ACCOUNTS, World

_FORCE_MS = 9_100
_PAUSE_MS = 800
_ATTEMPTS = 40
_EXPORT_MS = 4_000
_SWEEP_MS = 45_000
_FILLING = 50
_ROLLOUT_POLLS = 110
_STOP_AFTER_MS = 20


async def _prompt(world: World) -> None:
    await world.ask("prompt")


async def _stream(world: World) -> None:
    await world.ask("stream", is_stream=True)


async def _call(world: World) -> None:
    await world.ask("call", is_call=True)


async def _once(world: World) -> None:
    await world.ask("once", is_once=True)


async def _acceptance(world: World) -> None:
    """An operator accepts bundles until one of them is his, then it is in force."""
    asking = world.ask("during")
    for attempt in range(_ATTEMPTS):
        operator = world.network.add(f"operator-{attempt}", "office")
        bundle = world.make_bundle(world.accepted_number() + 1, share=7)
        task = operator.spawn(world.accept(bundle, operator))
        await asyncio.wait({task})
        result = None if task.cancelled() else task.result()
        if isinstance(result, Committed):
            break
        await world.clock.sleep_ms(_PAUSE_MS)
    else:
        world.errors.append("no bundle was accepted")
    await world.clock.sleep_ms(_FORCE_MS)
    await asyncio.gather(asking, *(world.ask(f"after-{n}") for n in range(2)))


async def _stop(world: World) -> None:
    """A node stops as planned with a stream, a prompt and a call in flight."""
    asked = [
        world.ask("stream", is_stream=True),
        world.ask("prompt", ACCOUNTS[1]),
        world.ask("call", is_call=True),
    ]
    await world.clock.sleep_ms(_STOP_AFTER_MS)
    stopping = world.stop_node("node-norte")
    await asyncio.gather(*asked)
    await asyncio.wait({stopping})


async def _start(world: World) -> None:
    """A third node starts while prompts are served."""
    asked = [world.ask(f"prompt-{index}") for index in range(3)]
    await world.start_node("node-third", "sur")
    asked.append(world.ask("last"))
    await asyncio.gather(*asked)


async def _kept(world: World) -> None:
    """Prompts return after their blocks were exported and the engines forgot them."""
    for index in range(2):
        await world.ask(f"first-{index}", ACCOUNTS[index])
    await world.clock.sleep_ms(_EXPORT_MS)
    for vm in world.engine_by_name.values():
        vm.restart()
    await world.clock.sleep_ms(_EXPORT_MS)
    await asyncio.gather(
        *(world.ask(f"second-{index}", ACCOUNTS[index]) for index in range(2))
    )


async def _free(world: World) -> None:
    """A write is left half done, and the sweep comes by."""
    for store in world.store_by_name.values():
        store.fill(_FILLING)
        store.reserve(world.clock.now_ms(), (Wanted("ab" * 16, 1),))
    await _kept(world)
    await world.clock.sleep_ms(_SWEEP_MS)


async def _rollout(world: World) -> None:
    """A bundle brings another weight version while prompts are asked."""
    world.versions = ("v1", "v2")
    asked = [world.ask(f"during-{index}") for index in range(2)]
    for attempt in range(_ATTEMPTS):
        operator = world.network.add(f"operator-{attempt}", "office")
        number = world.accepted_number() + 1
        bundle = world.make_bundle(number, version="v2", share=7)
        task = operator.spawn(world.accept(bundle, operator))
        await asyncio.wait({task})
        if not task.cancelled() and isinstance(task.result(), Committed):
            break
        await world.clock.sleep_ms(_PAUSE_MS)
    vms = world.engine_by_name.values()
    for _ in range(_ROLLOUT_POLLS):
        if all(vm.model.version_by_model.get(MODEL) == "v2" for vm in vms):
            break
        await world.clock.sleep_ms(_PAUSE_MS)
    else:
        world.errors.append("the rollout never ended")
    await asyncio.gather(*asked, world.ask("after"))


# Procedures at whose steps of a kind faults strike; the requests beside a procedure
# pass steps too. A kind that is not named here is struck wherever it comes up.
_PROMPTS = ("a prompt", "a stream", "a non-idempotent prompt")
PROCEDURES_BY_KIND = {
    "AcceptStep": ("a bundle's acceptance",),
    "StartStep": ("a node's start",),
    "StopStep": ("a planned stop",),
    "PromptStep": _PROMPTS,
    "StreamStep": _PROMPTS,
    "ExportStep": ("an export or import",),
    "ImportStep": ("an export or import",),
    "FreeStep": ("a free",),
    "LeaseStep": ("a rollout",),
    "RolloutStep": ("a rollout",),
    "OnceStep": ("a non-idempotent call", "a non-idempotent prompt"),
}
STORE_PROCEDURES = ("an export or import", "a free")
PROCEDURE_BY_NAME = {
    "an export or import": _kept,
    "a free": _free,
    "a rollout": _rollout,
    "a prompt": _prompt,
    "a stream": _stream,
    "a non-idempotent call": _call,
    "a non-idempotent prompt": _once,
    "a bundle's acceptance": _acceptance,
    "a planned stop": _stop,
    "a node's start": _start,
}
