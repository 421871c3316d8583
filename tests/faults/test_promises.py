"""Removes one protection of the program at a time.

The checker must report the violated promise each time.
"""

import asyncio
import unittest
from contextlib import ExitStack
from dataclasses import replace
from unittest import mock

from fireflyward.bundles import BundleHolder
from fireflyward.checker import BundleServed, Promise, UpstreamLeaving
from fireflyward.daemon import Node
from fireflyward.entry import _completions
from fireflyward.kept import BlockNames, SlotRequest, SlotState
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
from tests.faults._matrix import deterministic_draws
from tests.faults._simulation import ACCOUNTS, Simulation
from tests.faults._stores import ObservedKv, ObservedStore

KEY = "ab" * 16
OTHER_KEY = "cd" * 16


async def prompts_of_both_accounts(simulation):
    for index in range(6):
        await simulation.start_caller(f"prompt-{index}", ACCOUNTS[index // 2 % 2])


async def prompts_across_a_swap(simulation):
    simulation.versions = ("v1", "v2")
    await prompts_of_both_accounts(simulation)
    for vm in simulation.engine_by_name.values():
        vm.model.version_by_model[MODEL] = "v2"
    await simulation.accept(simulation.make_bundle(2, version="v2"))
    await simulation.clock.sleep_ms(9_100)
    await simulation.start_caller("after", ACCOUNTS[0])


async def block_read_after_its_slot_was_reused(simulation):
    simulation.owner_by_key = {KEY: ("bridge", "v1"), OTHER_KEY: ("bridge", "v1")}
    store = ObservedStore(simulation, "store")
    ref = await write(simulation, store, KEY)
    store.free((ref,), state=SlotState.PUBLISHED, fencing=1)
    await simulation.clock.sleep_ms(10)
    await write(simulation, store, OTHER_KEY)
    client = MemoryStore(store, simulation.clock)
    kv = ObservedKv(simulation, engine(), simulation.clock, lambda name, url: client)
    await kv.import_blocks(ImportOrder("order", MODEL, "v1", (ref,), {}, 1_000))


def engine():
    return EngineModel({MODEL: "v1"})


async def write(simulation, store, key) -> BlockRef:
    [reserved] = store.reserve(simulation.clock.now_ms(), (SlotRequest(key, 1),)).refs
    payload = _engine_kv.kv_payload(key)
    store.write(reserved, payload)
    checksum = _engine_kv.block_checksum(key, reserved.generation, payload)
    sealed = replace(reserved, length=len(payload), checksum=checksum)
    store.seal((sealed,))
    return store.publish((sealed,)).refs[0]


async def stream_while_all_engines_fail(simulation):
    caller_task = simulation.start_caller("stream", is_stream=True)
    await simulation.clock.sleep_ms(130)
    for name in simulation.engine_by_name:
        simulation.network.process_by_name[name].crash()
    await simulation.clock.sleep_ms(8_000)
    for name, vm in simulation.engine_by_name.items():
        vm.restart()
        simulation.network.add(name, vm.name.rpartition("-")[2])
    await caller_task


async def call_while_its_service_fails(simulation):
    caller_task = simulation.start_caller("call", is_call=True)
    await simulation.clock.sleep_ms(20)
    for name in ("service-norte", "service-sur"):
        simulation.network.process_by_name[name].crash()
    await caller_task


async def duplicate_call(simulation):
    caller_task = simulation.start_caller("call", is_call=True)
    await simulation.clock.sleep_ms(10)
    await simulation.callers[0].send_duplicate()
    await caller_task


async def prompts_after_an_engine_reported_leaving(simulation):
    # The engine that routing prefers is the one that leaves: any other engine would get
    # no requests anyway.
    await asyncio.gather(
        *(simulation.start_caller(f"before-{index}") for index in range(4))
    )
    engines = simulation.engine_by_name.values()
    vm = max(engines, key=lambda engine: len(engine.model.run_by_id))
    vm.is_leaving = True
    simulation.observe(UpstreamLeaving(simulation.clock.now_ms(), vm.name))
    await simulation.clock.sleep_ms(3_100)
    await asyncio.gather(
        *(simulation.start_caller(f"prompt-{index}") for index in range(8))
    )


async def stream_through_a_planned_stop(simulation):
    caller_tasks = [
        simulation.start_caller(f"stream-{index}", is_stream=True) for index in range(2)
    ]
    await simulation.clock.sleep_ms(100)
    simulation.stop_node("node-norte")
    await asyncio.gather(*caller_tasks)


async def bundle_accepted(simulation):
    await simulation.accept(simulation.make_bundle(2))
    await simulation.clock.sleep_ms(9_100)
    await prompts_of_both_accounts(simulation)


async def bundle_followed_by_an_older_bundle(simulation):
    await bundle_accepted(simulation)
    for node in simulation.node_by_name.values():
        node.apply(simulation.make_bundle(1))
        number = node.holder.number
        name = node.settings["node_name"]
        simulation.observe(BundleServed(simulation.clock.now_ms(), name, number))


async def one_prompt(simulation):
    await asyncio.wait({simulation.start_caller("prompt")}, timeout=None)


def block_names_without(part):
    original = BlockNames.of_prompt

    def of_prompt(self, account, model, version, *rest, **named):
        fields = {"account": account, "version": version, part: ""}
        account, version = fields["account"], fields["version"]
        return original(self, account, model, version, *rest, **named)

    return mock.patch.object(BlockNames, "of_prompt", of_prompt)


def slots_without_generation_check():
    return mock.patch.object(
        StoreModel, "_slot", lambda self, ref: self._slot_by_number.get(ref.slot)
    )


def reads_without_key_check():
    return mock.patch.object(
        StoreModel, "read", lambda self, ref: self._slot(ref).payload
    )


def answers_without_end_marker():
    original = _completions._ResponseWriter.end

    async def end(self, outcome):
        return await original(self, Answered())

    return mock.patch.object(_completions._ResponseWriter, "end", end)


def every_failure_reported_as_not_run():
    return mock.patch.object(_service_task, "Unknown", NotRun)


def claims_that_always_succeed():
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


def shutdown_without_waiting_for_handlers():
    return mock.patch.object(_fakes, "_SHUTDOWN_TIMEOUT_MS", 0)


def newer_bundles_ignored():
    def update(self, bundle):
        return not self.number and original(self, bundle)

    original = BundleHolder.update
    return mock.patch.object(BundleHolder, "update", update)


def bundles_without_number_comparison():
    original = BundleHolder.update

    def update(self, bundle):
        self._bundle = None
        return original(self, bundle)

    return mock.patch.object(BundleHolder, "update", update)


def requests_that_never_finish():
    async def serve(*_):
        await asyncio.Event().wait()

    return mock.patch.object(_completions, "_serve", serve)


CASES = {
    "generation and key": (
        Promise.WHOLE_BLOCKS,
        block_read_after_its_slot_was_reused,
        [
            slots_without_generation_check,
            reads_without_key_check,
            lambda: mock.patch.object(_engine_kv, "check_block", lambda *_: None),
        ],
    ),
    "account in block names": (
        Promise.OWN_ACCOUNT,
        prompts_of_both_accounts,
        [lambda: block_names_without("account")],
    ),
    "weight version in block names": (
        Promise.OWN_VERSION,
        prompts_across_a_swap,
        [lambda: block_names_without("version")],
    ),
    "end marker": (
        Promise.WHOLE_ANSWER,
        stream_while_all_engines_fail,
        [answers_without_end_marker],
    ),
    "unknown distinguished from not run": (
        Promise.TRUE_REFUSAL,
        call_while_its_service_fails,
        [every_failure_reported_as_not_run],
    ),
    "record before dispatch": (
        Promise.AT_MOST_ONCE,
        duplicate_call,
        [claims_that_always_succeed],
    ),
    "leaving in load reports": (
        Promise.LEAVING_UPSTREAM,
        prompts_after_an_engine_reported_leaving,
        [reports_without_leaving],
    ),
    "draining": (
        Promise.GRACEFUL_STOP,
        stream_through_a_planned_stop,
        [stop_without_draining, shutdown_without_waiting_for_handlers],
    ),
    "application of newer bundles": (
        Promise.BUNDLE_IN_FORCE,
        bundle_accepted,
        [newer_bundles_ignored],
    ),
    "comparison of bundle numbers": (
        Promise.BUNDLE_IN_FORCE,
        bundle_followed_by_an_older_bundle,
        [bundles_without_number_comparison],
    ),
    "a result for every run": (
        Promise.NOTHING_LOST,
        one_prompt,
        [requests_that_never_finish],
    ),
}


def broken_promises(scenario, protections) -> set[Promise]:
    async def run():
        simulation = Simulation()
        await simulation.start()
        work = simulation.spawn(scenario(simulation))
        with ExitStack() as patches:
            for protection in protections:
                patches.enter_context(protection())
            for _ in range(200):
                if work.done():
                    break
                await simulation.clock.advance_ms(200)
        if work.done():
            work.result()
        violations = simulation.checker.finish(simulation.clock.now_ms())
        await simulation.close()
        return {violation.promise for violation in violations}

    with deterministic_draws():
        return asyncio.run(run())


class ProtectionTests(unittest.TestCase):
    def test_removing_a_protection_breaks_its_promise(self):
        for name, (promise, scenario, protections) in CASES.items():
            with self.subTest(name):
                self.assertEqual(broken_promises(scenario, ()), set())
                self.assertIn(promise, broken_promises(scenario, protections))

    def test_every_promise_has_a_removable_protection(self):
        self.assertEqual({promise for promise, *_ in CASES.values()}, set(Promise))
