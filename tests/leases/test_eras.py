"""Leases whose table is restored from an older snapshot."""

import unittest

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import invariant, rule

from fireflyward.backing import Committed, Conflict, Missing, Row, Uncertain
from fireflyward.leases import (
    Gained,
    HandOver,
    Lease,
    Lost,
    RowRead,
    RowReceived,
    Tick,
    WriteAnswered,
    WriteRow,
)

from .test_lease import KEY, LEASE_MS, LeaseMachine, drive


class EraRow:
    """The lease's row in a store that assigns versions again after a restore."""

    def __init__(self):
        self.era = 1
        self.version = 0
        self.row = None
        self._snapshots = [(0, None)]

    def read(self):
        if self.row is None:
            return Missing(KEY, self.era)
        return Row(KEY, self.row.value, self.row.version, self.era)

    def write(self, action):
        """Write if the version matches, regardless of the era in which it was read."""
        version = self.row.version if self.row else 0
        if version != action.expected.version:
            return Conflict({KEY: version})
        self.version += 1
        self.row = Row(KEY, msgspec.json.encode(action.row), self.version)
        self._snapshots.append((self.version, self.row))
        if self.era != action.expected.era:
            return Uncertain("written in another era")
        return Committed({KEY: self.version}, self.era)

    def write_elsewhere(self):
        """Assign a version to another row."""
        self.version += 1
        self._snapshots.append((self.version, self.row))

    def restore(self, writes_ago):
        """Restore the snapshot before the last ``writes_ago`` writes."""
        del self._snapshots[max(1, len(self._snapshots) - writes_ago) :]
        self.version, self.row = self._snapshots[-1]
        self.era += 1


class RestoreTests(unittest.TestCase):
    def setUp(self):
        self.table = EraRow()
        self.first = Lease(holder="a", lease_ms=LEASE_MS)
        self.second = Lease(holder="b", lease_ms=LEASE_MS)
        (gained,) = self.acquire_after_wait(self.first, 0)
        self.number = gained.claim.fencing

    def acquire_after_wait(self, lease, now_ms):
        """Poll once, and again after the length of a lease; return the results."""
        self.assertEqual(drive(lease, self.table, now_ms, Tick()), [])
        return drive(lease, self.table, now_ms + 9_450, Tick())

    def test_restored_release_does_not_free_the_lease(self):
        """Guards against two holders: the row of the second holder was lost."""
        drive(self.first, self.table, 9_460, HandOver())
        drive(self.second, self.table, 9_470, Tick())
        self.assertIsNotNone(self.second.claim_at(9_480))
        self.table.restore(1)
        third = Lease(holder="c", lease_ms=LEASE_MS)
        (gained,) = self.acquire_after_wait(third, 9_490)
        self.assertIsNone(self.second.claim_at(9_490 + 9_450))
        self.assertTrue(gained.claim.after_expiry)

    def test_row_lost_in_the_restore_does_not_free_the_lease(self):
        """Guards against two holders if the snapshot is older than the lease."""
        self.table.restore(5)
        self.assertEqual(drive(self.second, self.table, 9_460, Tick()), [])
        self.assertIsNotNone(self.first.claim_at(9_460))

    def test_own_restored_row_does_not_count_as_the_newest(self):
        """Guards against a former holder that reads its own claim after the restore."""
        drive(self.first, self.table, 9_460, HandOver())
        drive(self.second, self.table, 9_470, Tick())
        self.table.restore(2)
        former = self.first
        former._stopping = False
        self.assertEqual(drive(former, self.table, 9_480, Tick()), [])
        self.assertIsNotNone(self.second.claim_at(9_480))

    def test_holder_writes_its_lost_row_again_at_once(self):
        self.table.write_elsewhere()
        drive(self.first, self.table, 12_500, Tick())
        self.table.restore(1)
        lost, gained = drive(self.first, self.table, 15_600, Tick())
        self.assertEqual(lost, Lost(self.number))
        self.assertGreater(gained.claim.fencing, self.number)
        self.assertEqual(drive(self.second, self.table, 15_700, Tick()), [])

    def test_holder_whose_lease_expired_does_not_write_its_row_again(self):
        """Guards against a pause between a renewal and the read after a restore."""
        (renewal,) = self.first.decide(12_500, Tick())
        self.assertIsInstance(renewal, WriteRow)
        self.first.decide(12_600, WriteAnswered(Uncertain("lost")))
        self.table.restore(0)
        actions = self.first.decide(40_000, RowRead(self.table.read()))
        self.assertEqual(actions, [Lost(self.number)])

    def test_no_number_is_assigned_twice(self):
        """Guards against a number that was stored only in the lost row."""
        drive(self.first, self.table, 9_460, HandOver())
        (second,) = drive(self.second, self.table, 9_470, Tick())
        self.table.restore(1)
        third = Lease(holder="c", lease_ms=LEASE_MS)
        (gained,) = self.acquire_after_wait(third, 9_480)
        self.assertGreater(gained.claim.fencing, second.claim.fencing)

    def test_condition_that_matches_by_coincidence_gains_nothing(self):
        """Guards against an acquisition of an earlier era that arrives in a new era."""
        third = Lease(holder="c", lease_ms=LEASE_MS)
        drive(third, self.table, 0, Tick())
        (read,) = third.decide(30_000, Tick())
        (write,) = third.decide(30_000, RowRead(self.table.read()))
        self.table.restore(0)
        answer = self.table.write(write)
        self.assertIsInstance(answer, Uncertain)
        self.assertEqual(drive(third, self.table, 30_010, WriteAnswered(answer)), [])
        self.assertIsNone(third.claim_at(30_010))

    def test_row_announced_in_an_earlier_era_is_older(self):
        row, position = self.first.row
        self.table.restore(0)
        drive(self.second, self.table, 9_460, Tick())
        self.second.decide(12_000, RowReceived(row, position))
        (gained,) = drive(self.second, self.table, 9_460 + 9_450, Tick())
        self.assertIsInstance(gained, Gained)


class RestoreMachine(LeaseMachine):
    """The same processes; the store is restored from older snapshots at any time."""

    def __init__(self):
        super().__init__()
        self.table = EraRow()

    @rule(writes_ago=st.integers(0, 4))
    def restore(self, writes_ago):
        self.table.restore(writes_ago)

    @rule()
    def write_elsewhere(self):
        self.table.write_elsewhere()

    @invariant()
    def no_number_is_assigned_twice(self):
        assert len(set(self.numbers)) == len(self.numbers), self.numbers


RestoreMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    database=None,
)
RestoreProperties = RestoreMachine.TestCase
