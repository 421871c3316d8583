"""Runs the examples in docstrings."""

import doctest
import importlib
import pkgutil
import unittest

import fireflyward

# Modules with side effects on import.
_PROGRAMS = ("__main__", "_light_imports")


def _modules():
    for found in pkgutil.walk_packages(fireflyward.__path__, "fireflyward."):
        if not found.name.endswith(_PROGRAMS):
            yield importlib.import_module(found.name)


class ExampleTests(unittest.TestCase):
    def test_each_example_gives_its_documented_result(self):
        attempted = 0
        for module in _modules():
            with self.subTest(module.__name__):
                result = doctest.testmod(module)
                attempted += result.attempted
                self.assertEqual(result.failed, 0)
        self.assertGreater(attempted, 0)
