"""The generated struct modules match the Thrift definitions."""

import ast
import unittest

from fireflyward.peers.__main__ import find_definitions, generate_source, structs_path


class StructsTests(unittest.TestCase):
    def test_generated_modules_match_the_definitions(self):
        """Guards against nodes that encode messages by an outdated definition.

        A definition was changed, but ``make structs`` was not run.
        """
        self.assertTrue(find_definitions())
        for definition in find_definitions():
            with self.subTest(definition=definition.name):
                committed = ast.parse(structs_path(definition).read_text())
                expected = ast.parse(generate_source(definition))
                self.assertEqual(ast.dump(committed), ast.dump(expected))
