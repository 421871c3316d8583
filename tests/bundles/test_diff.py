import unittest

from fireflyward.bundles import Model, diff, parse_bundle, to_toml
from tests.bundles.makers import account, bundle


def told(old, new):
    return [str(item) for item in diff(old, new)]


class DiffTests(unittest.TestCase):
    def test_order_and_layout_mean_nothing(self):
        one = bundle(1, ("bridge-team", "tower-team"))
        other = bundle(1, ("tower-team", "bridge-team"))
        self.assertEqual(told(one, other), [])
        self.assertEqual(told(one, parse_bundle("# hello\n\n" + to_toml(one))), [])

    def test_order_of_names_in_a_list_means_nothing(self):
        def with_adapters(*names):
            return bundle(models={"clauses": Model("v1", names)})

        self.assertEqual(told(with_adapters("a", "b"), with_adapters("b", "a")), [])

    def test_what_came_went_and_changed(self):
        old = bundle(account_by_name={"a": account("a"), "b": account("b")})
        new = bundle(
            account_by_name={"b": account("b", weight=3), "c": account("c")},
            models={"clauses": Model("v1", ("beams", "slabs"))},
        )
        self.assertEqual(
            told(old, new),
            [
                "model:clauses adapters: […] -> [… slabs]",
                "account:a removed",
                "account:b weight: 1 -> 3",
                "account:c added",
            ],
        )

    def test_first_bundle_adds_everything(self):
        entities = {item.entity for item in diff(None, bundle())}
        self.assertIn("trust:ana", entities)
        self.assertIn("upstream:engine-1", entities)
