import unittest

from fireflyward.checker import (
    AttemptEnded,
    AttemptStatus,
    BlockFreed,
    BlockRead,
    BlockSealed,
    BundleAccepted,
    BundleServed,
    CallerDisconnected,
    Checker,
    NodeLost,
    Promise,
    ReachabilityChanged,
    RequestSent,
    RunStarted,
    StopStarted,
    UpstreamLeaving,
)

SENT = RequestSent(0, "r", "bridge", ("whole answer",))
OTHER = RequestSent(0, "s", "tower", ("its answer",))
CALL = RequestSent(0, "c", "bridge", ("done",), is_non_idempotent=True)
ANSWERED = AttemptEnded(9, "r", AttemptStatus.ANSWERED, "whole answer", "id", "n1")
SEALED = BlockSealed(1, "store", "b", 1, "bridge", "v1", "sum")


def read(**changes):
    fields = {
        "at_ms": 9,
        "read_at_ms": 8,
        "store": "store",
        "block": "b",
        "generation": 1,
        "checksum": "sum",
        "request": "r",
        "account": "bridge",
        "version": "v1",
    }
    return BlockRead(**{**fields, **changes})


KEPT = {
    "a whole answer": [SENT, RunStarted(1, "e", "r", "id"), ANSWERED],
    "a true refusal": [CALL, AttemptEnded(2, "c", AttemptStatus.NOT_RUN, run_id="id")],
    "a caller that disconnected": [SENT, CallerDisconnected(3, "r")],
    "a call that ran on a retry": [
        CALL,
        AttemptEnded(2, "c", AttemptStatus.NOT_RUN, "", "id1", "n1", False, 1),
        RunStarted(5, "e", "c", "key", node="n1"),
        AttemptEnded(6, "c", AttemptStatus.ANSWERED, "done", "id2", "n1", True, 4),
    ],
    "a second attempt that ran": [
        SENT,
        AttemptEnded(2, "r", AttemptStatus.NOT_RUN, run_id="id1", is_final=False),
        RunStarted(3, "e", "r", "id2"),
        ANSWERED,
    ],
    "a run of an earlier attempt still in flight": [
        SENT,
        RunStarted(1, "e", "r", "key", node="n1"),
        AttemptEnded(
            4, "r", AttemptStatus.NOT_RUN, run_id="id", node="n2", started_ms=0
        ),
        AttemptEnded(
            6, "r", AttemptStatus.NOT_RUN, run_id="id", node="n1", started_ms=5
        ),
    ],
    "a block freed after it was read": [SEALED, BlockFreed(9, "store", "b", 1), read()],
    "a run that continues across a weight swap": [
        SEALED,
        read(version="v2", is_continued=True),
    ],
    "new work within the limit after an upstream started leaving": [
        SENT,
        UpstreamLeaving(0, "e"),
        RunStarted(3_000, "e", "r", "id"),
        ANSWERED,
    ],
    "a crash during a planned stop": [
        SENT,
        StopStarted(1, "n1"),
        NodeLost(2, "n1"),
        AttemptEnded(3, "r", AttemptStatus.CUT, "whole", "id", "n1", is_final=False),
        ANSWERED,
    ],
    "a long request that ends after a short one of a newer bundle": [
        BundleAccepted(0, 1, "d1"),
        BundleAccepted(1, 2, "d2"),
        BundleServed(5, "n1", 2, started_ms=4),
        BundleServed(20_000, "n1", 1, started_ms=3),
    ],
    "a node that could not reach the platform": [
        BundleAccepted(0, 1, "d1"),
        ReachabilityChanged(1, "n1", False),
        BundleAccepted(2, 2, "d2"),
        BundleServed(20_000, "n1", 1),
        ReachabilityChanged(20_001, "n1", True),
        BundleServed(29_001, "n1", 1),
    ],
}
BROKEN = {
    "a block freed before it was read": (
        Promise.WHOLE_BLOCKS,
        [SEALED, BlockFreed(7, "store", "b", 1), read()],
    ),
    "a block never sealed": (Promise.WHOLE_BLOCKS, [read()]),
    "a block that holds other bytes": (
        Promise.WHOLE_BLOCKS,
        [SEALED, read(checksum="x")],
    ),
    "another account's block": (Promise.OWN_ACCOUNT, [SEALED, read(account="tower")]),
    "another account's answer": (
        Promise.OWN_ACCOUNT,
        [
            SENT,
            OTHER,
            ANSWERED,
            AttemptEnded(3, "s", AttemptStatus.ANSWERED, "whole answer"),
        ],
    ),
    "a run of a request that no caller sent": (
        Promise.OWN_ACCOUNT,
        [RunStarted(1, "e", "?", "id")],
    ),
    "another version's block": (Promise.OWN_VERSION, [SEALED, read(version="v2")]),
    "a short answer": (
        Promise.WHOLE_ANSWER,
        [SENT, AttemptEnded(3, "r", AttemptStatus.ANSWERED, "whole")],
    ),
    "a gap in a stream that was cut": (
        Promise.WHOLE_ANSWER,
        [SENT, AttemptEnded(3, "r", AttemptStatus.CUT, "whole wer")],
    ),
    "a repeat in a stream": (
        Promise.WHOLE_ANSWER,
        [SENT, AttemptEnded(3, "r", AttemptStatus.UNKNOWN, "whole whole")],
    ),
    "a refusal after the run": (
        Promise.TRUE_REFUSAL,
        [
            SENT,
            RunStarted(1, "e", "r", "id"),
            AttemptEnded(2, "r", AttemptStatus.NOT_RUN, run_id="id"),
        ],
    ),
    "a refusal after a run under another id": (
        Promise.TRUE_REFUSAL,
        [
            SENT,
            RunStarted(2, "e", "r", "key", node="n1"),
            AttemptEnded(
                3, "r", AttemptStatus.NOT_RUN, run_id="id", node="n1", started_ms=1
            ),
        ],
    ),
    "a refusal before the run": (
        Promise.TRUE_REFUSAL,
        [
            CALL,
            AttemptEnded(1, "c", AttemptStatus.NOT_RUN, run_id="id"),
            RunStarted(2, "e", "c", "id2"),
        ],
    ),
    "a call that ran at the node that refused it": (
        Promise.TRUE_REFUSAL,
        [
            CALL,
            AttemptEnded(2, "c", AttemptStatus.NOT_RUN, "", "id1", "n1", False, 1),
            RunStarted(5, "e", "c", "key", node="n1"),
            AttemptEnded(6, "c", AttemptStatus.UNKNOWN, "", "id2", "n2", True, 4),
        ],
    ),
    "a refusal of a call that ran for an earlier attempt": (
        Promise.TRUE_REFUSAL,
        [
            CALL,
            RunStarted(1, "e", "c", "id1", node="n1"),
            AttemptEnded(2, "c", AttemptStatus.CUT, "", "id1", "n1", False, 0),
            AttemptEnded(4, "c", AttemptStatus.NOT_RUN, "", "id2", "n2", True, 3),
        ],
    ),
    "a call that ran twice": (
        Promise.AT_MOST_ONCE,
        [
            CALL,
            RunStarted(1, "e", "c", "id"),
            RunStarted(2, "f", "c", "id2"),
            AttemptEnded(3, "c", AttemptStatus.UNKNOWN),
        ],
    ),
    "new work past the limit after an upstream started leaving": (
        Promise.LEAVING_UPSTREAM,
        [SENT, UpstreamLeaving(0, "e"), RunStarted(3_001, "e", "r", "id"), ANSWERED],
    ),
    "a request cut by a planned stop": (
        Promise.GRACEFUL_STOP,
        [
            SENT,
            StopStarted(1, "n1"),
            AttemptEnded(2, "r", AttemptStatus.CUT, "whole", "id", "n1"),
        ],
    ),
    "a node that returns to an older bundle": (
        Promise.BUNDLE_IN_FORCE,
        [
            BundleAccepted(0, 1, "d1"),
            BundleAccepted(1, 2, "d2"),
            BundleServed(2, "n1", 2),
            BundleServed(3, "n1", 1),
        ],
    ),
    "an older bundle for a request sent after a newer bundle was served": (
        Promise.BUNDLE_IN_FORCE,
        [
            BundleAccepted(0, 1, "d1"),
            BundleAccepted(1, 2, "d2"),
            BundleServed(5, "n1", 2, started_ms=4),
            BundleServed(9, "n1", 1, started_ms=6),
        ],
    ),
    "a node that keeps an older bundle past the limit": (
        Promise.BUNDLE_IN_FORCE,
        [
            BundleAccepted(0, 1, "d1"),
            BundleAccepted(1, 2, "d2"),
            BundleServed(9_002, "n1", 1),
        ],
    ),
    "two bundles of one number": (
        Promise.BUNDLE_IN_FORCE,
        [BundleAccepted(0, 1, "d1"), BundleAccepted(1, 1, "d2")],
    ),
    "a bundle that was never accepted": (
        Promise.BUNDLE_IN_FORCE,
        [BundleServed(1, "n1", 3)],
    ),
    "a request without an outcome": (Promise.NOTHING_LOST, [SENT]),
}


def promises_broken_by(observations):
    checker = Checker()
    for observation in observations:
        checker.observe(observation)
    return {violation.promise for violation in checker.finish(30_000)}


class CheckerTests(unittest.TestCase):
    def test_kept_promises_are_not_reported(self):
        for name, observations in KEPT.items():
            with self.subTest(name):
                self.assertEqual(promises_broken_by(observations), set())

    def test_each_violation_names_the_broken_promise(self):
        for name, (promise, observations) in BROKEN.items():
            with self.subTest(name):
                self.assertEqual(promises_broken_by(observations), {promise})

    def test_cases_cover_every_promise(self):
        self.assertEqual({promise for promise, _ in BROKEN.values()}, set(Promise))
