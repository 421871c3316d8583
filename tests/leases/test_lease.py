import unittest
from dataclasses import dataclass, field

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fireflyward.backing import Committed, Conflict, Missing, Row, Uncertain
from fireflyward.leases import (
    Gained,
    HandOver,
    Lease,
    LeaseRow,
    Lost,
    ReadRow,
    Released,
    RowRead,
    RowReceived,
    Tick,
    WriteAnswered,
    WriteRow,
)
from tests.positions import at

LEASE_MS = 9_000
KEY = "lease/x"


class FakeRow:
    """The lease's row with the table's conditional write."""

    def __init__(self):
        self.row = None

    def read(self):
        return self.row or Missing(KEY)

    def write(self, action):
        version = self.row.version if self.row else 0
        if version != action.expected.version:
            return Conflict({KEY: version})
        self.row = Row(KEY, msgspec.json.encode(action.row), version + 1)
        return Committed({KEY: version + 1})


def drive(lease, table, now_ms, message, *, lose=0):
    """Perform the actions of ``lease``; the first ``lose`` answers are lost."""
    results, queue = [], lease.decide(now_ms, message)
    while queue:
        action = queue.pop(0)
        if isinstance(action, ReadRow):
            queue += lease.decide(now_ms, RowRead(table.read()))
        elif isinstance(action, WriteRow):
            answer = table.write(action)
            if lose:
                lose -= 1
                answer = Uncertain("lost")
            queue += lease.decide(now_ms, WriteAnswered(answer))
        else:
            results.append(action)
    return results


class AcquireTests(unittest.TestCase):
    def setUp(self):
        self.table = FakeRow()
        self.first = Lease(holder="a", lease_ms=LEASE_MS)
        self.second = Lease(holder="b", lease_ms=LEASE_MS)

    def test_first_poll_acquires_a_lease_without_a_row(self):
        (gained,) = drive(self.first, self.table, 0, Tick())
        self.assertEqual(gained.claim.fencing, 1)
        self.assertFalse(gained.claim.after_expiry)

    def test_the_row_says_when_it_was_written(self):
        drive(self.first, self.table, 0, Tick(store_ms=500))
        self.assertEqual(self.stored().store_ms, 500)
        drive(self.first, self.table, 5_000, Tick(store_ms=5_500))
        self.assertEqual((self.stored().beat, self.stored().store_ms), (1, 5_500))

    def stored(self):
        return msgspec.json.decode(self.table.row.value, type=LeaseRow)

    def test_contender_waits_the_full_lease_by_its_own_clock(self):
        drive(self.first, self.table, 0, Tick())
        for now_ms in (1_000_000, 1_000_000 + LEASE_MS):
            self.assertEqual(drive(self.second, self.table, now_ms, Tick()), [])
        (gained,) = drive(self.second, self.table, 1_000_000 + 9_450, Tick())
        self.assertEqual(gained.claim.fencing, 2)
        self.assertTrue(gained.claim.after_expiry)

    def test_renewal_keeps_contenders_out_and_the_number_as_it_is(self):
        drive(self.first, self.table, 0, Tick())
        for now_ms in range(3_000, 60_000, 3_000):
            drive(self.first, self.table, now_ms, Tick())
            self.assertEqual(drive(self.second, self.table, now_ms, Tick()), [])
        self.assertEqual(self.first.claim_at(60_000).fencing, 1)

    def test_handed_over_lease_is_free_at_once_with_a_new_number(self):
        drive(self.first, self.table, 0, Tick())
        results = drive(self.first, self.table, 10, HandOver())
        self.assertEqual(results, [Lost(1), Released()])
        (gained,) = drive(self.second, self.table, 11, Tick())
        self.assertEqual(gained.claim.fencing, 2)
        self.assertFalse(gained.claim.after_expiry)

    def test_contender_that_does_not_contend_reads_nothing(self):
        self.assertEqual(self.second.decide(0, Tick(may_contend=False)), [])


class LossTests(unittest.TestCase):
    def setUp(self):
        self.table = FakeRow()
        self.lease = Lease(holder="a", lease_ms=LEASE_MS)

    def test_lost_answer_to_an_acquisition_is_resolved_by_reading(self):
        """Guards against a lease that no process holds though its row names a holder.

        The acquisition takes effect and its answer is lost, and the process treats the
        missing answer as a failure.
        """
        (gained,) = drive(self.lease, self.table, 0, Tick(), lose=1)
        self.assertEqual(gained.claim.fencing, 1)

    def test_lost_answer_to_a_renewal_is_resolved_by_reading(self):
        """Guards against a holder that drops its lease before it expires.

        A renewal takes effect, its answer is lost, the next renewal conflicts, and the
        holder treats the conflict as a write by another process.
        """
        drive(self.lease, self.table, 0, Tick())
        drive(self.lease, self.table, 3_000, Tick(), lose=1)
        self.assertEqual(self.lease.claim_at(9_500).fencing, 1)

    def test_lost_write_that_never_arrived_is_sent_again_unchanged(self):
        (read,) = self.lease.decide(0, Tick())
        (write,) = self.lease.decide(0, RowRead(self.table.read()))
        self.lease.decide(2_000, WriteAnswered(Uncertain("lost")))
        self.assertEqual(self.lease.decide(2_000, RowRead(self.table.read())), [])
        self.lease.decide(3_000, Tick())
        self.assertEqual(self.lease.decide(3_000, RowRead(self.table.read())), [write])
        gained = self.lease.decide(3_000, WriteAnswered(self.table.write(write)))
        self.assertEqual(gained[0].claim.until_ms, LEASE_MS)

    def test_claim_counts_from_before_the_write_was_sent(self):
        """Guards against two holders at the same time.

        A write is delayed in the network for most of a lease, and so is its answer. The
        holder counts its lease from the answer, but the contender from the row.
        """
        (_,) = self.lease.decide(0, Tick())
        (write,) = self.lease.decide(0, RowRead(self.table.read()))
        answer = self.table.write(write)
        self.assertEqual(self.lease.decide(9_001, WriteAnswered(answer)), [])
        self.assertIsNone(self.lease.claim_at(9_001))

    def test_holder_paused_past_its_lease_has_no_claim(self):
        """Guards against a holder that acts after its successor has acted.

        The holder is paused for longer than the lease, and its next statement reads
        the claim. A flag that a timer should have reset still says that it is held.
        """
        drive(self.lease, self.table, 0, Tick())
        self.assertIsNotNone(self.lease.claim_at(8_999))
        self.assertIsNone(self.lease.claim_at(9_000))
        successor = Lease(holder="b", lease_ms=LEASE_MS)
        drive(successor, self.table, 50_000, Tick())
        drive(successor, self.table, 60_000, Tick())
        self.assertEqual(drive(self.lease, self.table, 60_000, Tick()), [Lost(1)])

    def test_own_expired_claim_is_acquired_again_with_a_new_number(self):
        drive(self.lease, self.table, 0, Tick())
        lost, gained = drive(self.lease, self.table, 20_000, Tick())
        self.assertEqual(lost, Lost(1))
        self.assertEqual((gained.claim.fencing, gained.claim.after_expiry), (2, True))


@dataclass
class Process:
    """A process with its own clock: ``offset_ms`` and a rate within the margin."""

    lease: Lease
    offset_ms: int
    rate: float
    waiting: list = field(default_factory=list)

    def now_ms(self, true_ms):
        return int(self.offset_ms + true_ms * self.rate)


class LeaseMachine(RuleBasedStateMachine):
    """Processes that pause, and whose messages are delayed, lost and reordered.

    A message stays in ``waiting`` until a rule delivers it, so any pause and any delay
    of a request or an answer corresponds to some order of the rules.
    """

    def __init__(self):
        super().__init__()
        self.table = FakeRow()
        self.true_ms = 0
        clocks = ((0, 1.0), (7_000_000, 0.98), (-500, 1.02))
        self.processes = [
            Process(Lease(holder=str(index), lease_ms=LEASE_MS), offset_ms, rate)
            for index, (offset_ms, rate) in enumerate(clocks)
        ]
        self.numbers = []
        self.late = []

    def process_message(self, process, message):
        actions = process.lease.decide(process.now_ms(self.true_ms), message)
        for action in actions:
            if isinstance(action, Gained):
                self.numbers.append(action.claim.fencing)
            elif isinstance(action, ReadRow | WriteRow):
                process.waiting.append(action)

    @rule(by_ms=st.sampled_from((1, 400, 3_000, 9_100, 20_000)))
    def pass_time(self, by_ms):
        self.true_ms += by_ms

    @rule(index=st.integers(0, 2), turns=st.integers(0, 8), stop=st.booleans())
    def work(self, index, turns, stop):
        """Run a process for some turns; it is paused after the last one."""
        process = self.processes[index]
        if not process.waiting:
            now_ms = process.now_ms(self.true_ms)
            held = process.lease.claim_at(now_ms) is not None
            self.process_message(process, HandOver() if stop and held else Tick())
            process.lease._stopping = False
        for _ in range(turns):
            self.turn(process, lose=False)

    @rule(index=st.integers(0, 2))
    def lose_one(self, index):
        self.turn(self.processes[index], lose=True)

    @rule(index=st.integers(0, 2))
    def arrive_late(self, index):
        """Report the answer to a write as lost, and queue the write for later."""
        process = self.processes[index]
        if process.waiting and isinstance(process.waiting[0], WriteRow):
            write = process.waiting.pop(0)
            self.process_message(process, WriteAnswered(Uncertain("lost")))
            self.late.append(write)

    @rule()
    def deliver_late(self):
        if self.late:
            self.table.write(self.late.pop(0))

    def turn(self, process, *, lose):
        """Deliver one request to the table, or one answer to the process."""
        if not process.waiting:
            return
        sent = process.waiting.pop(0)
        if isinstance(sent, ReadRow):
            process.waiting.insert(0, RowRead(self.table.read()))
        elif isinstance(sent, WriteRow):
            answer = self.table.write(sent)
            process.waiting.insert(0, WriteAnswered(Uncertain("") if lose else answer))
        else:
            self.process_message(process, sent)

    @invariant()
    def at_most_one_holder(self):
        holders = [
            process
            for process in self.processes
            if process.lease.claim_at(process.now_ms(self.true_ms))
        ]
        assert len(holders) <= 1, holders

    @invariant()
    def numbers_never_decrease(self):
        assert self.numbers == sorted(self.numbers), self.numbers


LeaseMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    database=None,
)
LeaseProperties = LeaseMachine.TestCase


if __name__ == "__main__":
    unittest.main()


class ForeignRowTests(unittest.TestCase):
    def test_undecodable_row_counts_as_held_and_is_replaced(self):
        """Guards against processes that exit with an error when they read the lease.

        A foreign program wrote the row. Its fencing number is unknown, so the next one
        is derived from the row's version, which no holder's number can exceed.
        """
        lease = Lease(holder="a", lease_ms=3_000)
        lease.decide(0, Tick())
        with self.assertLogs("fireflyward.leases", "ERROR"):
            foreign = RowRead(Row("lease/x", b"\xff no row", 41))
            self.assertEqual(lease.decide(0, foreign), [])
            (write,) = lease.decide(3_200, foreign)
        self.assertEqual((write.expected, write.row.fencing), (at(41), 42))


class ReceivedRowTests(unittest.TestCase):
    def test_holder_ignores_announced_rows(self):
        """Guards against a lease that is lost when a former holder's datagram is late.

        The holder treated the announced row as the row in the table, so the condition
        of its next renewal could not match.
        """
        lease = Lease(holder="a", lease_ms=3_000)
        lease.decide(0, Tick())
        lease.decide(0, RowRead(Missing("lease/x")))
        lease.decide(0, WriteAnswered(Committed({"lease/x": 9})))
        lease.decide(10, RowReceived(LeaseRow("b", "old", 7), at(8)))
        lease.decide(20, RowReceived(LeaseRow("b", "new", 7), at(12)))
        (renewal,) = lease.decide(1_000, Tick())
        self.assertEqual((renewal.expected, renewal.row.holder), (at(9), "a"))

    def test_older_announced_row_does_not_restart_the_wait(self):
        lease = Lease(holder="a", lease_ms=3_000)
        row = LeaseRow("b", "claim", 7)
        lease.decide(0, RowReceived(row, at(9)))
        lease.decide(2_000, RowReceived(row, at(8)))
        held = RowRead(Row("lease/x", msgspec.json.encode(row), 9))
        self.assertEqual(lease.decide(3_149, held), [])
        (write,) = lease.decide(3_150, held)
        self.assertEqual((write.expected, write.row.fencing), (at(9), 8))
