import unittest

from fireflyward.backing import Unavailable
from fireflyward.kept import PrefixScope, PrefixText, PrefixTexts, UnknownPrefix
from fireflyward.standins import MemoryObjects

CLAUSES = "Clause 8.4: connections shall be detailed as follows. " * 50
ANDES = PrefixScope("andes")
SECRET = b"s" * 32


class PrefixTextsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.objects = MemoryObjects()
        self.texts = PrefixTexts(self.objects, SECRET)

    async def test_any_node_resolves_a_reference_of_another_node(self):
        ref = await self.texts.store_text(ANDES, "clauses", CLAUSES)
        other_node = PrefixTexts(self.objects, SECRET)
        self.assertEqual(await other_node.resolve(ANDES, ref), PrefixText(CLAUSES))

    async def test_reference_of_another_account_or_caller_is_unknown(self):
        """Guards against reading the text of another account.

        A caller sends a reference that it found in another account's log. References
        must be bound to their account.
        """
        ref = await self.texts.store_text(PrefixScope("andes", "review"), "c", CLAUSES)
        for scope in (PrefixScope("nota"), ANDES, PrefixScope("andes", "drafting")):
            with self.subTest(scope=scope):
                found = await self.texts.resolve(scope, ref)
                self.assertEqual(found, UnknownPrefix())

    async def test_changed_reference_is_unknown(self):
        ref = await self.texts.store_text(ANDES, "clauses", CLAUSES)
        for place in range(0, len(ref), 7):
            changed = (
                ref[:place] + ("A" if ref[place] != "A" else "B") + ref[place + 1 :]
            )
            self.assertEqual(await self.texts.resolve(ANDES, changed), UnknownPrefix())
        for junk in ("", "x", "é" * 9, "A" * 5_000):
            self.assertEqual(await self.texts.resolve(ANDES, junk), UnknownPrefix())

    async def test_text_is_encrypted_and_stored_as_a_single_object(self):
        await self.texts.store_text(ANDES, "clauses", CLAUSES)
        first = dict(self.objects.body_by_name)
        await PrefixTexts(self.objects, SECRET).store_text(ANDES, "again", CLAUSES)
        self.assertEqual(self.objects.body_by_name, first)
        (body,) = first.values()
        self.assertNotIn(b"Clause", body)

    async def test_reference_to_a_changed_or_exchanged_object_is_unknown(self):
        ref = await self.texts.store_text(ANDES, "clauses", CLAUSES)
        (name,) = self.objects.body_by_name
        await self.texts.store_text(ANDES, "other", "other text")
        (other,) = self.objects.body_by_name.keys() - {name}
        exchanged = self.objects.body_by_name[other]
        for body in (b"", b"x" * 40, exchanged):
            self.objects.body_by_name[name] = body
            node = PrefixTexts(self.objects, SECRET)
            self.assertEqual(await node.resolve(ANDES, ref), UnknownPrefix())

    async def test_unavailable_store_is_reported_and_cached_texts_still_resolve(self):
        ref = await self.texts.store_text(ANDES, "clauses", CLAUSES)
        self.objects.unavailable = True
        self.assertEqual(await self.texts.resolve(ANDES, ref), PrefixText(CLAUSES))
        node = PrefixTexts(self.objects, SECRET)
        self.assertIsInstance(await node.resolve(ANDES, ref), Unavailable)
        self.assertIsInstance(await node.store_text(ANDES, "c", CLAUSES), Unavailable)

    async def test_cache_is_bounded(self):
        texts = PrefixTexts(self.objects, SECRET, cache_bytes=100)
        for number in range(10):
            await texts.store_text(ANDES, "n", f"{number}" * 40)
        self.assertLessEqual(texts._cached_bytes, 100)
