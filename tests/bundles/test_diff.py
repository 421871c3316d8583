import unittest

from fireflyward.bundles import Model, diff, parse_bundle, to_toml
from tests.bundles.makers import account, bundle


def diff_lines(old, new):
    return [str(item) for item in diff(old, new)]


class DiffTests(unittest.TestCase):
    def test_order_and_layout_make_no_difference(self):
        one = bundle(1, ("bridge-team", "tower-team"))
        other = bundle(1, ("tower-team", "bridge-team"))
        self.assertEqual(diff_lines(one, other), [])
        self.assertEqual(
            diff_lines(one, parse_bundle("# hello\n\n" + to_toml(one))), []
        )

    def test_order_of_names_in_a_list_makes_no_difference(self):
        def with_adapters(*names):
            return bundle(models={"clauses": Model("v1", names)})

        self.assertEqual(
            diff_lines(with_adapters("a", "b"), with_adapters("b", "a")), []
        )

    def test_added_removed_and_changed_entities(self):
        old = bundle(account_by_name={"a": account("a"), "b": account("b")})
        new = bundle(
            account_by_name={"b": account("b", weight=3), "c": account("c")},
            models={"clauses": Model("v1", ("beams", "slabs"))},
        )
        self.assertEqual(
            diff_lines(old, new),
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
