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
        self.book = ProposalStore(
            store=self.store, table=self.table, objects=self.objects, clock=clock
        )
        self.signed = with_author(draft(bundle(), author="ana"), ANA)

    async def waiting(self):
        return (await self.book.all(ROOTS)).proposals

    async def test_colleague_gets_what_the_author_signed(self):
        proposal = await self.book.add(self.signed)
        self.assertEqual(await self.book.get(proposal.digest), self.signed)
        (row,) = await self.waiting()
        self.assertEqual((row.author, row.number, row.is_stale), ("ana", 1, False))

    async def test_proposal_for_an_older_bundle_is_marked_and_then_cleared(self):
        await self.book.add(self.signed)
        first = bundle(1, ("bridge-team",))
        signed = sign_bundle(first, author=ANA, approver=BRUNO)
        await self.store.accept(first, signed)
        self.assertTrue((await self.waiting())[0].is_stale)
        await self.book.clear(1)
        self.assertEqual(await self.waiting(), ())

    async def test_unsigned_and_unknown_ones_are_refused(self):
        refused = await self.book.add(draft(bundle(), author="ana"))
        self.assertEqual(refused.code, "bad_request")
        self.assertEqual((await self.book.get("0" * 64)).code, "no_proposal")

    async def test_platform_away_is_told(self):
        self.table.away = self.objects.away = True
        for result in (
            await self.book.add(self.signed),
            await self.book.all(ROOTS),
            await self.book.get("0" * 64),
        ):
            self.assertIsInstance(result, ErrorReply)
            self.assertEqual(result.code, "platform_away")
