"""Takes out one protection of the product at a time; the checker must see each."""

import asyncio
import unittest
from contextlib import ExitStack
from dataclasses import replace
from unittest import mock

from fireflyward.bundles import BundleHolder
from fireflyward.checker import BundleServed, Promise, UpstreamLeaving
from fireflyward.daemon import Node
from fireflyward.entry import _completions
from fireflyward.kept import BlockNames, SlotState, Wanted
from fireflyward.outcomes import Answered, NotRun
from fireflyward.routing import Router
from fireflyward.runs import Permit, RunRecords, _service_task
from fireflyward.standins import (
    EngineModel,
    MemoryStore,
    StoreModel,
    _engine_kv,
)
from fireflyward.upstreams import BlockRef, ImportOrder
from tests.faults import _fakes
from tests.faults._callers import MODEL
from tests.faults._matrix import repeatable
from tests.faults._simulation import ACCOUNTS, World
from tests.faults._stores import WatchedKv, WatchedStore

KEY = "ab" * 16
OTHER_KEY = "cd" * 16


async def prompts_of_both_accounts(world):
    for index in range(6):
        await world.ask(f"prompt-{index}", ACCOUNTS[index // 2 % 2])


async def prompts_across_a_swap(world):
    world.versions = ("v1", "v2")
    await prompts_of_both_accounts(world)
    for vm in world.engine_by_name.values():
        vm.model.version_by_model[MODEL] = "v2"
    await world.accept(world.make_bundle(2, version="v2"))
    await world.clock.sleep_ms(9_100)
    await world.ask("after", ACCOUNTS[0])


async def stored_and_read_after_its_slot_was_used_again(world):
    world.owner_by_key = {KEY: ("bridge", "v1"), OTHER_KEY: ("bridge", "v1")}
    store = WatchedStore(world, "store")
    ref = await write(world, store, KEY)
    store.free((ref,), state=SlotState.PUBLISHED, fencing=1)
    await world.clock.sleep_ms(10)
    await write(world, store, OTHER_KEY)
    client = MemoryStore(store, world.clock)
    kv = WatchedKv(world, engine(), world.clock, lambda name, url: client)
    await kv.import_blocks(ImportOrder("order", MODEL, "v1", (ref,), {}, 1_000))


def engine():
    return EngineModel({MODEL: "v1"})


async def write(world, store, key) -> BlockRef:
    [reserved] = store.reserve(world.clock.now_ms(), (Wanted(key, 1),)).refs
    payload = _engine_kv.kv_payload(key)
    store.write(reserved, payload)
    checksum = _engine_kv.block_checksum(key, reserved.generation, payload)
    sealed = replace(reserved, length=len(payload), checksum=checksum)
    store.seal((sealed,))
    return store.publish((sealed,)).refs[0]


async def stream_while_all_engines_fail(world):
    asked = world.ask("stream", is_stream=True)
    await world.clock.sleep_ms(130)
    for name in world.engine_by_name:
        world.network.process_by_name[name].die()
    await world.clock.sleep_ms(8_000)
    for name, vm in world.engine_by_name.items():
        vm.restart()
        world.network.add(name, vm.name.rpartition("-")[2])
    await asked


async def call_while_its_service_fails(world):
    asked = world.ask("call", is_call=True)
    await world.clock.sleep_ms(20)
    for name in ("service-norte", "service-sur"):
        world.network.process_by_name[name].die()
    await asked


async def call_that_is_asked_twice(world):
    asked = world.ask("call", is_call=True)
    await world.clock.sleep_ms(10)
    await world.callers[0].ask_again()
    await asked


async def prompts_after_an_engine_said_that_it_leaves(world):
    # The engine that routing prefers leaves, or nothing would go to it anyway.
    await asyncio.gather(*(world.ask(f"before-{index}") for index in range(4)))
    engines = world.engine_by_name.values()
    vm = max(engines, key=lambda engine: len(engine.model.run_by_id))
    vm.is_leaving = True
    world.see(UpstreamLeaving(world.clock.now_ms(), vm.name))
    await world.clock.sleep_ms(3_100)
    await asyncio.gather(*(world.ask(f"prompt-{index}") for index in range(8)))


async def stream_through_a_planned_stop(world):
    asked = [world.ask(f"stream-{index}", is_stream=True) for index in range(2)]
    await world.clock.sleep_ms(100)
    world.stop_node("node-norte")
    await asyncio.gather(*asked)


async def bundle_accepted(world):
    await world.accept(world.make_bundle(2))
    await world.clock.sleep_ms(9_100)
    await prompts_of_both_accounts(world)


async def bundle_followed_by_an_old_one(world):
    await bundle_accepted(world)
    for node in world.node_by_name.values():
        node.apply(world.make_bundle(1))
        number = node.holder.number
        name = node.settings["node_name"]
        world.see(BundleServed(world.clock.now_ms(), name, number))


async def one_prompt(world):
    await asyncio.wait({world.ask("prompt")}, timeout=None)


def names_without(part):
    original = BlockNames.of_prompt

    def of_prompt(self, account, model, version, *rest, **named):
        fields = {"account": account, "version": version, part: ""}
        account, version = fields["account"], fields["version"]
        return original(self, account, model, version, *rest, **named)

    return mock.patch.object(BlockNames, "of_prompt", of_prompt)


def slots_without_generations():
    return mock.patch.object(
        StoreModel, "_slot", lambda self, ref: self._slot_by_number.get(ref.slot)
    )


def reads_without_keys():
    return mock.patch.object(
        StoreModel, "read", lambda self, ref: self._slot(ref).payload
    )


def answers_without_end_marker():
    original = _completions._ResponseWriter.end

    async def end(self, outcome):
        return await original(self, Answered())

    return mock.patch.object(_completions._ResponseWriter, "end", end)


def every_failure_called_not_run():
    return mock.patch.object(_service_task, "Unknown", NotRun)


def records_that_are_always_new():
    async def claim(self, key, record):
        return Permit(1 << 60), 1

    return mock.patch.object(RunRecords, "claim", claim)


def reports_without_leaving():
    original = Router.on_report

    def on_report(self, now_ms, name, report):
        original(self, now_ms, name, replace(report, leaving=False))

    return mock.patch.object(Router, "on_report", on_report)


def stop_without_draining():
    return mock.patch.object(Node, "stop", Node.close)


def library_that_waits_for_nobody():
    return mock.patch.object(_fakes, "_LIBRARY_WAIT_MS", 0)


def offers_that_are_never_taken():
    def update(self, bundle):
        return not self.number and original(self, bundle)

    original = BundleHolder.update
    return mock.patch.object(BundleHolder, "update", update)


def offers_without_comparison():
    original = BundleHolder.update

    def update(self, bundle):
        self._bundle = None
        return original(self, bundle)

    return mock.patch.object(BundleHolder, "update", update)


def answers_that_never_come():
    async def serve(*_):
        await asyncio.Event().wait()

    return mock.patch.object(_completions, "_serve", serve)


CASES = {
    "generation and key": (
        Promise.WHOLE_BLOCKS,
        stored_and_read_after_its_slot_was_used_again,
        [
            slots_without_generations,
            reads_without_keys,
            lambda: mock.patch.object(_engine_kv, "check_block", lambda *_: None),
        ],
    ),
    "account in block names": (
        Promise.OWN_ACCOUNT,
        prompts_of_both_accounts,
        [lambda: names_without("account")],
    ),
    "weight version in block names": (
        Promise.OWN_VERSION,
        prompts_across_a_swap,
        [lambda: names_without("version")],
    ),
    "end marker": (
        Promise.WHOLE_ANSWER,
        stream_while_all_engines_fail,
        [answers_without_end_marker],
    ),
    "unknown told apart from not run": (
        Promise.TRUE_REFUSAL,
        call_while_its_service_fails,
        [every_failure_called_not_run],
    ),
    "record before dispatch": (
        Promise.AT_MOST_ONCE,
        call_that_is_asked_twice,
        [records_that_are_always_new],
    ),
    "leaving in load reports": (
        Promise.LEAVING_UPSTREAM,
        prompts_after_an_engine_said_that_it_leaves,
        [reports_without_leaving],
    ),
    "draining": (
        Promise.GRACEFUL_STOP,
        stream_through_a_planned_stop,
        [stop_without_draining, library_that_waits_for_nobody],
    ),
    "taking of new bundles": (
        Promise.BUNDLE_IN_FORCE,
        bundle_accepted,
        [offers_that_are_never_taken],
    ),
    "comparison of bundle numbers": (
        Promise.BUNDLE_IN_FORCE,
        bundle_followed_by_an_old_one,
        [offers_without_comparison],
    ),
    "an end to every run": (
        Promise.NOTHING_LOST,
        one_prompt,
        [answers_that_never_come],
    ),
}


def promises_broken_in(drive, protections) -> set[Promise]:
    async def run():
        world = World()
        await world.begin()
        work = world.spawn(drive(world))
        with ExitStack() as stack:
            for protection in protections:
                stack.enter_context(protection())
            for _ in range(200):
                if work.done():
                    break
                await world.clock.advance_ms(200)
        if work.done():
            work.result()
        found = world.checker.finish(world.clock.now_ms())
        await world.end()
        return {violation.promise for violation in found}

    with repeatable():
        return asyncio.run(run())


class ProtectionTests(unittest.TestCase):
    def test_each_taken_out_breaks_its_promise(self):
        for name, (promise, drive, protections) in CASES.items():
            with self.subTest(name):
                self.assertEqual(promises_broken_in(drive, ()), set())
                self.assertIn(promise, promises_broken_in(drive, protections))

    def test_every_promise_has_a_protection_that_can_be_taken_out(self):
        self.assertEqual({promise for promise, *_ in CASES.values()}, set(Promise))
