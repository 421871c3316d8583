import unittest

from fireflyward.bundles import BundleError, ChunkedAccounts, canonical_bytes
from fireflyward.bundles._parts import chunk_of, chunks_for
from tests.bundles.makers import account, first_state, sha256


def bodies(names, chunks):
    table_by_chunk = {}
    for name in names:
        table_by_chunk.setdefault(chunk_of(name, chunks), {})[name] = account(name)
    return {chunk: canonical_bytes(table) for chunk, table in table_by_chunk.items()}


NAMES = [f"team-{index}" for index in range(300)]


class ChunksTests(unittest.TestCase):
    def test_number_of_chunks_changes_only_beyond_a_factor_of_four(self):
        self.assertEqual(chunks_for(0), 1)
        self.assertEqual(chunks_for(19_000), 2_048)
        self.assertEqual(chunks_for(19_000, 1_024), 1_024)
        self.assertEqual(chunks_for(19_000, 256), 2_048)
        self.assertEqual(chunks_for(100, 2_048), 8)


class ChunkedAccountsTests(unittest.TestCase):
    def setUp(self):
        self.accounts = ChunkedAccounts(bodies(NAMES, 128), 128)

    def test_accounts_are_read_like_a_dict(self):
        table = {name: account(name) for name in NAMES}
        self.assertEqual(len(self.accounts), len(NAMES))
        self.assertEqual(dict(self.accounts.items()), table)
        self.assertEqual(set(self.accounts), set(NAMES))
        for name in NAMES:
            self.assertEqual(self.accounts[name], table[name])
        with self.assertRaises(KeyError):
            self.accounts["nobody"]

    def test_every_key_is_found_and_no_other(self):
        for name in NAMES:
            found = self.accounts.find_key(sha256(f"key-{name}"))
            self.assertEqual(found, (name, "portal"))
        self.assertIsNone(self.accounts.find_key(sha256("other")))

    def test_key_with_the_same_indexed_bytes_is_not_found(self):
        """Guards against serving a stranger as a client account.

        The index has only eight bytes of each hash. After a match the complete hash
        must be compared.
        """
        digest = sha256(f"key-{NAMES[0]}")
        self.assertIsNone(self.accounts.find_key(digest[:16] + "0" * 48))

    def test_change_does_not_modify_the_earlier_table(self):
        chunk = chunk_of(NAMES[0], 128)
        after = self.accounts.with_chunks({chunk: None})
        self.assertIn(NAMES[0], self.accounts)
        self.assertNotIn(NAMES[0], after)
        self.assertEqual(len(after), len(list(after)))

    def test_key_may_move_between_chunks_in_one_change(self):
        one, other = NAMES[0], NAMES[1]
        moved = canonical_bytes({other: account(one)})
        after = self.accounts.with_chunks(
            {chunk_of(one, 128): None, chunk_of(other, 128): moved}
        )
        self.assertNotIsInstance(after, BundleError)
        self.assertEqual(after.find_key(sha256(f"key-{one}")), (other, "portal"))

    def test_key_of_an_account_in_another_chunk_is_refused(self):
        thief = canonical_bytes({NAMES[0]: account(NAMES[1])})
        after = self.accounts.with_chunks({chunk_of(NAMES[0], 128): thief})
        self.assertIsInstance(after, BundleError)

    def test_state_holds_chunked_accounts(self):
        self.assertIsInstance(first_state().bundle.accounts, ChunkedAccounts)
