import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.kept import BlockNames

NAMES = BlockNames(b"secret" * 4)
PROMPT = "clause 8.4 " * 100
PARTS = st.tuples(*[st.text(max_size=6)] * 4)


class BlockNamesTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=60)
    @given(PARTS, PARTS, st.text(max_size=4), st.text(max_size=4))
    def test_different_owners_have_different_keys(
        self, one, other, caller, other_caller
    ):
        """Guards against answering an account's prompt with another account's blocks.

        Account "ab" with model "c" and account "a" with model "bc" send the same text.
        The root hash must contain the lengths of its parts.
        """
        first = NAMES.of_prompt(*one, PROMPT, caller=caller)
        second = NAMES.of_prompt(*other, PROMPT, caller=other_caller)
        is_same_owner = (one, caller) == (other, other_caller)
        self.assertEqual(bool(set(first) & set(second)), is_same_owner)

    def test_prompts_have_equal_keys_up_to_their_first_difference(self):
        first = NAMES.of_prompt("a", "m", "v1", "", "x" * 512 + "y" * 512)
        second = NAMES.of_prompt("a", "m", "v1", "", "x" * 512 + "z" * 512)
        self.assertEqual(first[:2], second[:2])
        self.assertFalse(set(first[2:]) & set(second[2:]))

    def test_only_full_blocks_have_keys(self):
        self.assertEqual(len(NAMES.of_prompt("a", "m", "v1", "", "x" * 511)), 1)
        self.assertEqual(NAMES.of_prompt("a", "m", "v1", "", "x" * 255), ())

    def test_different_secrets_give_different_keys(self):
        first = NAMES.of_prompt("a", "m", "v1", "", PROMPT)
        second = BlockNames(b"other" * 4).of_prompt("a", "m", "v1", "", PROMPT)
        self.assertFalse(set(first) & set(second))
