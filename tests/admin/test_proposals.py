import unittest

from fireflyward.admin import ErrorReply, ProposalStore
from fireflyward.bundles import BundleStore, draft, sign_bundle, with_author
from fireflyward.clock import ManualClock
from fireflyward.standins import MemoryObjects, MemoryTable
from tests.bundles.makers import ANA, BRUNO, ROOTS, bundle


class ProposalTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table, self.objects = MemoryTable(), MemoryObjects()
        clock = ManualClock()
        self.store = BundleStore(self.table, self.objects, clock=clock)
        self.proposals = ProposalStore(
            store=self.store, table=self.table, objects=self.objects, clock=clock
        )
        self.signed = with_author(draft(bundle(), author="ana"), ANA)

    async def waiting(self):
        return (await self.proposals.all(ROOTS)).proposals

    async def test_colleague_gets_the_bundle_that_the_author_signed(self):
        proposal = await self.proposals.add(self.signed)
        self.assertEqual(await self.proposals.get(proposal.digest), self.signed)
        (row,) = await self.waiting()
        self.assertEqual((row.author, row.number, row.is_stale), ("ana", 1, False))

    async def test_proposal_for_an_older_bundle_is_marked_and_then_cleared(self):
        await self.proposals.add(self.signed)
        first = bundle(1, ("bridge-team",))
        signed = sign_bundle(first, author=ANA, approver=BRUNO)
        await self.store.accept(first, signed)
        self.assertTrue((await self.waiting())[0].is_stale)
        await self.proposals.clear(1)
        self.assertEqual(await self.waiting(), ())

    async def test_unsigned_and_unknown_proposals_are_rejected(self):
        rejected = await self.proposals.add(draft(bundle(), author="ana"))
        self.assertEqual(rejected.code, "bad_request")
        self.assertEqual((await self.proposals.get("0" * 64)).code, "no_proposal")

    async def test_unavailable_platform_is_reported(self):
        self.table.unavailable = self.objects.unavailable = True
        for result in (
            await self.proposals.add(self.signed),
            await self.proposals.all(ROOTS),
            await self.proposals.get("0" * 64),
        ):
            self.assertIsInstance(result, ErrorReply)
            self.assertEqual(result.code, "platform_away")
