import unittest

from fireflyward.admin import BundleAdmin, SubmitOutcome
from fireflyward.backing import Uncertain
from fireflyward.bundles import (
    BundleLoader,
    BundleStore,
    Loaded,
    Model,
    draft,
    sign_bundle,
    to_toml,
    with_author,
)
from fireflyward.clock import Clock
from fireflyward.standins import MemoryObjects, MemoryTable, MemoryWeights
from tests.bundles.makers import ANA, BRUNO, CARLA, DEPLOYMENT, ROOTS, bundle


class NoSleepClock(Clock):
    """A clock whose sleeps return at once."""

    __slots__ = ()

    async def sleep_ms(self, duration_ms):
        return None


class FakeNode:
    """A node that loads each new bundle from the store at once."""

    def __init__(self, store):
        self.store = store
        self.loader = BundleLoader(store, roots=ROOTS, deployment=DEPLOYMENT)
        self.current = None
        self.statuses = ()

    def state(self):
        return self.current

    async def catch_up(self, number):
        head, _ = await self.store.head()
        loaded = await self.loader.load(head, self.current)
        if isinstance(loaded, Loaded):
            self.current = loaded.state
        return isinstance(loaded, Loaded)

    def apply_state(self, state, changes):
        self.current = state

    async def node_statuses(self):
        return self.statuses


class BundleAdminTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.store = BundleStore(self.table, MemoryObjects(), clock=NoSleepClock())
        self.weights = MemoryWeights({"clauses": ("v1", "v2")})
        self.bundle_admin = self.make_bundle_admin()

    def make_bundle_admin(self):
        return BundleAdmin(
            deployment=DEPLOYMENT,
            node=FakeNode(self.store),
            store=self.store,
            weights=self.weights,
            roots=ROOTS,
        )

    def base(self, bundle_admin=None):
        return (bundle_admin or self.bundle_admin)._node.current

    async def submit(self, next_bundle, author=ANA, approver=BRUNO, bundle_admin=None):
        bundle_admin = bundle_admin or self.bundle_admin
        signed = sign_bundle(
            next_bundle, author=author, approver=approver, base=self.base(bundle_admin)
        )
        return await bundle_admin.submit(signed)

    def assert_outcome(self, reply, outcome, *codes):
        self.assertEqual(reply.outcome, outcome, reply)
        self.assertEqual(tuple(problem.code for problem in reply.problems), codes)


class SubmitTests(BundleAdminTestCase):
    async def test_first_and_following_bundles(self):
        self.assert_outcome(await self.submit(bundle()), SubmitOutcome.ACCEPTED)
        next_bundle = bundle(2, ("bridge-team",))
        self.assert_outcome(await self.submit(next_bundle), SubmitOutcome.ACCEPTED)
        self.assertEqual(self.bundle_admin.number(), 2)

    async def test_rejected_bundles_have_an_error_code_and_write_nothing(self):
        await self.submit(bundle())
        writes = self.table.writes
        for author, approver, next_bundle, code in (
            (ANA, ANA, bundle(2), "same_person"),
            (CARLA, BRUNO, bundle(2, ("tower-team",)), "outside_role"),
            (ANA, BRUNO, bundle(9), "other_base"),
        ):
            with self.subTest(code=code):
                reply = await self.submit(next_bundle, author, approver)
                self.assert_outcome(reply, SubmitOutcome.REFUSED, code)
        self.assertEqual(self.table.writes, writes)

    async def test_version_missing_from_the_weight_store_is_rejected(self):
        next_bundle = bundle(models={"clauses": Model("v9", ("beams",))})
        reply = await self.submit(next_bundle)
        self.assert_outcome(reply, SubmitOutcome.REFUSED, "invalid")
        self.assertIn("weight store", str(reply.problems[0]))

    async def test_unavailable_weight_store_rejects_with_its_own_code(self):
        self.weights.unavailable = True
        reply = await self.submit(bundle())
        self.assert_outcome(reply, SubmitOutcome.REFUSED, "platform_away")

    async def test_loser_of_a_race_gets_the_winner_and_the_differences(self):
        """Guards against an operator's change that reverts a colleague's change.

        Both operators start from bundle 1 and submit bundle 2 through different nodes.
        """
        await self.submit(bundle())
        other = self.make_bundle_admin()
        await other._node.catch_up(1)
        mine = sign_bundle(
            bundle(2, ("bridge-team", "tower-team", "tower-two")),
            author=CARLA,
            approver=ANA,
            base=self.base(other),
        )
        await self.submit(bundle(2, ("bridge-team", "tower-team", "tower-x")))
        reply = await other.submit(mine)
        self.assert_outcome(reply, SubmitOutcome.RACED)
        self.assertEqual((reply.winner.author, reply.winner.approver), ("ana", "bruno"))
        self.assertGreater(reply.winner.accepted_wall_ms, 0)
        differences = [str(item) for item in reply.differs]
        self.assertEqual(
            differences, ["account:tower-two added", "account:tower-x removed"]
        )
        again = await self.submit(
            bundle(3, ("bridge-team", "tower-team", "tower-two", "tower-x")),
            CARLA,
            ANA,
            other,
        )
        self.assert_outcome(again, SubmitOutcome.ACCEPTED)

    async def test_submitting_an_accepted_bundle_again_is_accepted(self):
        signed = sign_bundle(bundle(), author=ANA, approver=BRUNO)
        for _ in range(2):
            reply = await self.bundle_admin.submit(signed)
            self.assert_outcome(reply, SubmitOutcome.ACCEPTED)
        await self.submit(bundle(2, ("bridge-team",)))
        self.assert_outcome(
            await self.bundle_admin.submit(signed), SubmitOutcome.ACCEPTED
        )

    async def test_lost_answer_is_uncertain_and_resolved_by_submitting_again(self):
        real, signed = (
            self.table.commit,
            sign_bundle(bundle(), author=ANA, approver=BRUNO),
        )

        async def lose(**write):
            return Uncertain("answer lost")

        self.table.commit = lose
        reply = await self.bundle_admin.submit(signed)
        self.assert_outcome(reply, SubmitOutcome.UNCERTAIN)
        self.table.commit = real
        self.assert_outcome(
            await self.bundle_admin.submit(signed), SubmitOutcome.ACCEPTED
        )

    async def test_submission_without_the_table_is_unavailable(self):
        signed = sign_bundle(bundle(), author=ANA, approver=BRUNO)
        self.table.unavailable = True
        self.assert_outcome(
            await self.bundle_admin.submit(signed), SubmitOutcome.UNAVAILABLE
        )


class ViewTests(BundleAdminTestCase):
    async def test_check_reports_every_problem(self):
        await self.submit(bundle())
        ready = to_toml(bundle(2))
        self.assertEqual((await self.bundle_admin.check(ready)).problems, ())
        stale = await self.bundle_admin.check(to_toml(bundle(1)))
        self.assertEqual([item.code for item in stale.problems], ["other_base"])
        wrong = await self.bundle_admin.check(ready.replace('"v1"', '"v9"'))
        self.assertEqual(
            [item.field for item in wrong.problems], ["models.clauses.version"]
        )
        self.assertTrue((await self.bundle_admin.check("number = true")).problems)

    async def test_plan_of_a_draft_needs_no_signature(self):
        await self.submit(bundle())
        drafted = draft(bundle(2, ("bridge-team",)), author="ana", base=self.base())
        reply = await self.bundle_admin.plan(with_author(drafted, ANA))
        self.assertEqual(reply.problems, ())
        self.assertTrue(any("tower-team" in item for item in reply.plan.dangers))
        self.assertEqual(len(reply.differences), 1)

    async def test_earlier_bundles_can_be_shown(self):
        await self.submit(bundle())
        await self.submit(bundle(2, ("bridge-team",)))
        await self.submit(bundle(3))
        second = await self.bundle_admin.bundle_at(2)
        self.assertEqual(
            second.document, (await self.bundle_admin.bundle_at(2)).document
        )
        heads = (await self.bundle_admin.history()).heads
        self.assertEqual([head.number for head in heads], [3, 2, 1])

    async def test_status_without_the_table_is_unconfirmed(self):
        await self.submit(bundle())
        self.assertTrue((await self.bundle_admin.status()).is_confirmed)
        self.table.unavailable = True
        status = await self.bundle_admin.status()
        self.assertFalse(status.is_confirmed)
        self.assertEqual(status.number, 1)
