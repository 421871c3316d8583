"""Defines the procedures; each function runs one until it is complete."""

import asyncio

from fireflyward.backing import Committed
from fireflyward.kept import SlotRequest

from ._callers import MODEL
from ._simulation import ACCOUNTS, Simulation

_ACTIVATION_MS = 9_100
_PAUSE_MS = 800
_ATTEMPTS = 40
_EXPORT_MS = 4_000
_SWEEP_MS = 45_000
_FILLED_BLOCKS = 50
_ROLLOUT_POLLS = 110
_STOP_AFTER_MS = 20


async def _prompt(simulation: Simulation) -> None:
    await simulation.start_caller("prompt")


async def _stream(simulation: Simulation) -> None:
    await simulation.start_caller("stream", is_stream=True)


async def _call(simulation: Simulation) -> None:
    await simulation.start_caller("call", is_call=True)


async def _non_idempotent_prompt(simulation: Simulation) -> None:
    await simulation.start_caller("once", is_non_idempotent=True)


async def _acceptance(simulation: Simulation) -> None:
    """Operators accept bundles until one is committed; then it comes into force."""
    caller_task = simulation.start_caller("during")
    for attempt in range(_ATTEMPTS):
        operator = simulation.network.add(f"operator-{attempt}", "office")
        bundle = simulation.make_bundle(simulation.accepted_number() + 1, share=7)
        task = operator.spawn(simulation.accept(bundle, operator))
        await asyncio.wait({task})
        result = None if task.cancelled() else task.result()
        if isinstance(result, Committed):
            break
        await simulation.clock.sleep_ms(_PAUSE_MS)
    else:
        simulation.errors.append("no bundle was accepted")
    await simulation.clock.sleep_ms(_ACTIVATION_MS)
    await asyncio.gather(
        caller_task, *(simulation.start_caller(f"after-{n}") for n in range(2))
    )


async def _stop(simulation: Simulation) -> None:
    """A node makes a planned stop with a stream, a prompt and a call in flight."""
    caller_tasks = [
        simulation.start_caller("stream", is_stream=True),
        simulation.start_caller("prompt", ACCOUNTS[1]),
        simulation.start_caller("call", is_call=True),
    ]
    await simulation.clock.sleep_ms(_STOP_AFTER_MS)
    stopping = simulation.stop_node("node-norte")
    await asyncio.gather(*caller_tasks)
    await asyncio.wait({stopping})


async def _start(simulation: Simulation) -> None:
    """A third node starts while prompts are served."""
    caller_tasks = [simulation.start_caller(f"prompt-{index}") for index in range(3)]
    await simulation.start_node("node-third", "sur")
    caller_tasks.append(simulation.start_caller("last"))
    await asyncio.gather(*caller_tasks)


async def _export_and_import(simulation: Simulation) -> None:
    """Send the prompts again after the export of their blocks and an engine restart."""
    for index in range(2):
        await simulation.start_caller(f"first-{index}", ACCOUNTS[index])
    await simulation.clock.sleep_ms(_EXPORT_MS)
    for vm in simulation.engine_by_name.values():
        vm.restart()
    await simulation.clock.sleep_ms(_EXPORT_MS)
    await asyncio.gather(
        *(
            simulation.start_caller(f"second-{index}", ACCOUNTS[index])
            for index in range(2)
        )
    )


async def _free(simulation: Simulation) -> None:
    """Leave reserved blocks without a payload, and wait for the sweep."""
    for store in simulation.store_by_name.values():
        store.fill(_FILLED_BLOCKS)
        store.reserve(simulation.clock.now_ms(), (SlotRequest("ab" * 16, 1),))
    await _export_and_import(simulation)
    await simulation.clock.sleep_ms(_SWEEP_MS)


async def _rollout(simulation: Simulation) -> None:
    """Accept a bundle with another weight version while prompts are in flight."""
    simulation.versions = ("v1", "v2")
    caller_tasks = [simulation.start_caller(f"during-{index}") for index in range(2)]
    for attempt in range(_ATTEMPTS):
        operator = simulation.network.add(f"operator-{attempt}", "office")
        number = simulation.accepted_number() + 1
        bundle = simulation.make_bundle(number, version="v2", share=7)
        task = operator.spawn(simulation.accept(bundle, operator))
        await asyncio.wait({task})
        if not task.cancelled() and isinstance(task.result(), Committed):
            break
        await simulation.clock.sleep_ms(_PAUSE_MS)
    vms = simulation.engine_by_name.values()
    for _ in range(_ROLLOUT_POLLS):
        if all(vm.model.version_by_model.get(MODEL) == "v2" for vm in vms):
            break
        await simulation.clock.sleep_ms(_PAUSE_MS)
    else:
        simulation.errors.append("the rollout never ended")
    await asyncio.gather(*caller_tasks, simulation.start_caller("after"))


# The procedures in which faults are injected at steps of a kind. Background requests
# reach steps of other procedures too. Faults at a kind that is not listed here are
# injected in every procedure that reaches it.
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
    "an export or import": _export_and_import,
    "a free": _free,
    "a rollout": _rollout,
    "a prompt": _prompt,
    "a stream": _stream,
    "a non-idempotent call": _call,
    "a non-idempotent prompt": _non_idempotent_prompt,
    "a bundle's acceptance": _acceptance,
    "a planned stop": _stop,
    "a node's start": _start,
}
