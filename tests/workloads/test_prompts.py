import unittest

from fireflyward.upstreams import BLOCK_TOKENS
from fireflyward.workloads import (
    AndinosLoad,
    NotaBirlikLoad,
    andinos_prompts,
    nota_birlik_prompts,
)

DRAWS = (
    lambda seed: andinos_prompts(seed, AndinosLoad(models=30, batch_prompts=10)),
    lambda seed: nota_birlik_prompts(seed, NotaBirlikLoad(ledgers=20, disputes=30)),
)


class PromptTests(unittest.TestCase):
    def test_one_seed_gives_the_same_prompts_and_another_others(self):
        for draw in DRAWS:
            self.assertEqual(draw(1), draw(1))
            self.assertNotEqual(draw(1), draw(2))

    def test_prompts_come_in_order_with_keys_for_their_full_blocks(self):
        for draw in DRAWS:
            prompts = draw(1)
            times = [prompt.at_ms for prompt in prompts]
            self.assertEqual(times, sorted(times))
            for prompt in prompts:
                text = prompt.text
                self.assertEqual(len(text.keys), text.tokens // BLOCK_TOKENS)

    def test_no_block_belongs_to_two_accounts(self):
        for draw in DRAWS:
            account_by_key = {}
            for prompt in draw(1):
                for key in prompt.text.keys:
                    account = account_by_key.setdefault(key, prompt.account)
                    self.assertEqual(account, prompt.account)
