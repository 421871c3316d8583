import unittest

from fireflyward.upstreams import BLOCK_TOKENS
from fireflyward.workloads import (
    AndinosLoad,
    NotaBirlikLoad,
    andinos_prompts,
    nota_birlik_prompts,
)

DRAWS = (
    lambda seed: andinos_prompts(
        seed, AndinosLoad(building_models=30, batch_prompts=10)
    ),
    lambda seed: nota_birlik_prompts(seed, NotaBirlikLoad(ledgers=20, disputes=30)),
)


class PromptTests(unittest.TestCase):
    def test_same_seed_draws_the_same_prompts_and_another_seed_others(self):
        for draw in DRAWS:
            self.assertEqual(draw(1), draw(1))
            self.assertNotEqual(draw(1), draw(2))

    def test_prompts_are_sorted_and_have_keys_for_their_full_blocks(self):
        for draw in DRAWS:
            prompts = draw(1)
            times = [prompt.at_ms for prompt in prompts]
            self.assertEqual(times, sorted(times))
            for prompt in prompts:
                text = prompt.text
                self.assertEqual(len(text.keys), text.tokens // BLOCK_TOKENS)

    def test_no_block_key_occurs_in_two_accounts(self):
        for draw in DRAWS:
            account_by_key = {}
            for prompt in draw(1):
                for key in prompt.text.keys:
                    account = account_by_key.setdefault(key, prompt.account)
                    self.assertEqual(account, prompt.account)
