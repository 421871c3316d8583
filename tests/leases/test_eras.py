"""Leases whose table comes back from an older copy."""

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
    RowReceived,
    RowSeen,
    Tick,
    WriteAnswered,
    WriteRow,
)

from .test_lease import KEY, LEASE_MS, LeaseMachine, drive


class EraRow:
    """The lease's row in a store whose versions are given out again after a drill."""

    def __init__(self):
        self.era = 1
        self.version = 0
        self.row = None
        self._copies = [(0, None)]

    def read(self):
        if self.row is None:
            return Missing(KEY, self.era)
        return Row(KEY, self.row.value, self.row.version, self.era)

    def write(self, action):
        """Write where the version fits, in whatever era it was read."""
        have = self.row.version if self.row else 0
        if have != action.expected.version:
            return Conflict({KEY: have})
        self.version += 1
        self.row = Row(KEY, msgspec.json.encode(action.row), self.version)
        self._copies.append((self.version, self.row))
        if self.era != action.expected.era:
            return Uncertain("written in another era")
        return Committed({KEY: self.version}, self.era)

    def write_elsewhere(self):
        """Give out a version for another row."""
        self.version += 1
        self._copies.append((self.version, self.row))

    def come_back(self, writes_ago):
        """Come back from the copy before so many writes."""
        del self._copies[max(1, len(self._copies) - writes_ago) :]
        self.version, self.row = self._copies[-1]
        self.era += 1


class DrillTests(unittest.TestCase):
    def setUp(self):
        self.table = EraRow()
        self.first = Lease(holder="a", lease_ms=LEASE_MS)
        self.second = Lease(holder="b", lease_ms=LEASE_MS)
        (gained,) = self.wait_for(self.first, 0)
        self.number = gained.claim.fencing

    def wait_for(self, lease, now_ms):
        """Look once, and again when a lease has passed; return what came of it."""
        self.assertEqual(drive(lease, self.table, now_ms, Tick()), [])
        return drive(lease, self.table, now_ms + 9_450, Tick())

    def test_a_release_that_an_older_copy_brings_back_frees_nothing(self):
        """Guards against two holders: the row of the second one was lost."""
        drive(self.first, self.table, 9_460, HandOver())
        drive(self.second, self.table, 9_470, Tick())
        self.assertIsNotNone(self.second.claim_at(9_480))
        self.table.come_back(1)
        third = Lease(holder="c", lease_ms=LEASE_MS)
        (gained,) = self.wait_for(third, 9_490)
        self.assertIsNone(self.second.claim_at(9_490 + 9_450))
        self.assertTrue(gained.claim.after_expiry)

    def test_a_row_that_the_copy_lacks_frees_nothing(self):
        """Guards against two holders where the copy is older than the lease."""
        self.table.come_back(5)
        self.assertEqual(drive(self.second, self.table, 9_460, Tick()), [])
        self.assertIsNotNone(self.first.claim_at(9_460))

    def test_an_own_row_that_comes_back_is_not_taken_for_the_newest(self):
        """Guards against a former holder that finds its claim in the copy."""
        drive(self.first, self.table, 9_460, HandOver())
        drive(self.second, self.table, 9_470, Tick())
        self.table.come_back(2)
        again = self.first
        again._stopping = False
        self.assertEqual(drive(again, self.table, 9_480, Tick()), [])
        self.assertIsNotNone(self.second.claim_at(9_480))

    def test_a_holder_writes_its_lost_row_again_at_once(self):
        self.table.write_elsewhere()
        drive(self.first, self.table, 12_500, Tick())
        self.table.come_back(1)
        lost, gained = drive(self.first, self.table, 15_600, Tick())
        self.assertEqual(lost, Lost(self.number))
        self.assertGreater(gained.claim.fencing, self.number)
        self.assertEqual(drive(self.second, self.table, 15_700, Tick()), [])

    def test_a_holder_that_wakes_after_its_lease_writes_nothing_again(self):
        """Guards against a pause between a renewal and the reading after a drill."""
        (renewal,) = self.first.decide(12_500, Tick())
        self.assertIsInstance(renewal, WriteRow)
        self.first.decide(12_600, WriteAnswered(Uncertain("lost")))
        self.table.come_back(0)
        found = self.first.decide(40_000, RowSeen(self.table.read()))
        self.assertEqual(found, [Lost(self.number)])

    def test_no_number_is_given_twice(self):
        """Guards against a number that only the lost row knew."""
        drive(self.first, self.table, 9_460, HandOver())
        (second,) = drive(self.second, self.table, 9_470, Tick())
        self.table.come_back(1)
        third = Lease(holder="c", lease_ms=LEASE_MS)
        (gained,) = self.wait_for(third, 9_480)
        self.assertGreater(gained.claim.fencing, second.claim.fencing)

    def test_a_condition_that_holds_by_chance_gains_nothing(self):
        """Guards against an acquisition of an earlier era that arrives in this one."""
        third = Lease(holder="c", lease_ms=LEASE_MS)
        drive(third, self.table, 0, Tick())
        (read,) = third.decide(30_000, Tick())
        (write,) = third.decide(30_000, RowSeen(self.table.read()))
        self.table.come_back(0)
        answer = self.table.write(write)
        self.assertIsInstance(answer, Uncertain)
        self.assertEqual(drive(third, self.table, 30_010, WriteAnswered(answer)), [])
        self.assertIsNone(third.claim_at(30_010))

    def test_a_row_told_in_an_earlier_era_is_older(self):
        row, position = self.first.row
        self.table.come_back(0)
        drive(self.second, self.table, 9_460, Tick())
        self.second.decide(12_000, RowReceived(row, position))
        (gained,) = drive(self.second, self.table, 9_460 + 9_450, Tick())
        self.assertIsInstance(gained, Gained)


class DrillMachine(LeaseMachine):
    """The same processes; the store comes back from older copies at any moment."""

    def __init__(self):
        super().__init__()
        self.table = EraRow()

    @rule(writes_ago=st.integers(0, 4))
    def drill(self, writes_ago):
        self.table.come_back(writes_ago)

    @rule()
    def write_elsewhere(self):
        self.table.write_elsewhere()

    @invariant()
    def no_number_is_given_twice(self):
        assert len(set(self.numbers)) == len(self.numbers), self.numbers


DrillMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    database=None,
)
DrillProperties = DrillMachine.TestCase
