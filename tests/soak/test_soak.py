"""A short soak test of one seed and of each seed that failed once."""

import asyncio
import unittest

from ._soak import run_seed
from ._stopped_senders import StoppedSenders

_SECONDS = 4.0
# Long enough for replicas that leave and for an evacuation.
_DEPARTURE_SECONDS = 14.0
# Each seed that failed once, with the cause.
_REGRESSIONS = {
    149: "a replica answered 503 to a request that it had executed, and the node sent "
    "this 503 to the caller, for whom a 503 means that the request was not executed",
}
# Long enough for what follows six seconds after the fifth crash.
_UPGRADE_SECONDS = 16.0
_UPGRADE_SEED = 7001
_UPGRADE_REGRESSIONS = {
    530141: "all engines were down, so the first part of all prompts had no answers "
    "for 2 s; five crashes whose cause ended with its node held it back",
}
_PARTITION_SECONDS = 12.0
_PARTITION_REGRESSIONS = {
    910333: "one of three nodes served 51 of 218 during a cut, beside a busy machine, "
    "and could not be brought to it again; nodes that had been slow to answer were not "
    "asked as relays for up to 4 s",
}
_STANDSTILL_REGRESSIONS = {
    101: "a node counted the time that a version allows to older weights from when it "
    "heard of the version, so nodes that had stood still sent to them for 8.5 s more",
    102: "the same, for requests that then waited at an engine",
    107: "the same, beside engines that ran slowly and orders without a response",
}
_REJECTION_SECONDS = 8.0
_REJECTION_REGRESSIONS = {
    1: "a second copy of a rejection was taken for the answer to the next send of the "
    "same request, which was executed; requests ran twice or after a 503",
    4: "the same",
}
_FLAPPING_NODES = 9
_FLAPPING_REGRESSIONS = {
    100: "a second copy of a rejection was taken for the answer to the next send of "
    "the same request, at the replicas that were left; requests ran twice or after 503",
    101: "the same",
}
_ODD_INPUT_SECONDS = 8.0
_ODD_INPUT_REGRESSIONS = {
    100: "SIGHUP and SIGTERM ended nodes that had not started yet; an entry with a "
    "long port failed the task that follows the list of replicas",
    101: "the same",
}
_STOPPED_SENDER_SEED = 4
_DEPARTURE_REGRESSIONS = {
    2: "a failed read of one node counted as an outage of the store, after which a "
    "removed replica stayed in use",
    4: "the same",
}


class SoakTests(unittest.TestCase):
    def check(self, seed, seconds, **options):
        with self.subTest(seed=seed):
            violations, counts, _ = asyncio.run(run_seed(seed, seconds, **options))
            self.assertEqual(violations, [], counts)

    def test_seeds(self):
        self.check(1, _SECONDS)
        for seed in _REGRESSIONS:
            self.check(seed, _SECONDS, is_older_seed=True)

    def test_partitions(self):
        for seed in (1, *_PARTITION_REGRESSIONS):
            self.check(seed, _PARTITION_SECONDS, has_partitions=True)

    def test_upgrades(self):
        self.check(_UPGRADE_SEED, _UPGRADE_SECONDS, has_upgrades=True)

    def test_crashes_around_restarts_of_nodes(self):
        """Guards against a part that is held late while nodes restart."""
        for seed in _UPGRADE_REGRESSIONS:
            self.check(seed, _UPGRADE_SECONDS, has_upgrades=True)

    def test_rejections(self):
        for seed in _REJECTION_REGRESSIONS:
            self.check(seed, _REJECTION_SECONDS, has_rejections=True)

    def test_flapping(self):
        for seed in _FLAPPING_REGRESSIONS:
            self.check(
                seed, _REJECTION_SECONDS, nodes=_FLAPPING_NODES, has_flapping=True
            )

    def test_odd_input(self):
        for seed in _ODD_INPUT_REGRESSIONS:
            self.check(seed, _ODD_INPUT_SECONDS, has_odd_input=True)

    def test_standstills(self):
        async def run_together():
            return await asyncio.gather(
                *(
                    run_seed(seed, 0.0, has_standstills=True)
                    for seed in _STANDSTILL_REGRESSIONS
                )
            )

        results = zip(_STANDSTILL_REGRESSIONS, asyncio.run(run_together()), strict=True)
        for seed, (violations, counts, _) in results:
            with self.subTest(seed=seed):
                self.assertEqual(violations, [], counts)

    def test_a_request_whose_sender_stands_still(self):
        """Guards against a request that begins late as no node can withdraw it."""
        self.check(
            _STOPPED_SENDER_SEED,
            0.0,
            has_standstills=True,
            standstills=StoppedSenders,
        )

    def test_departures(self):
        for seed in _DEPARTURE_REGRESSIONS:
            self.check(seed, _DEPARTURE_SECONDS)
