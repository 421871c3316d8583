"""The structs that run are those that the definitions say."""

import ast
import unittest

from fireflyward.peers.__main__ import definitions, source_of, written_for


class StructsTests(unittest.TestCase):
    def test_what_is_written_follows_from_the_definitions(self):
        """Symptom: two nodes do not understand each other though both are built anew.

        A definition was changed and ``make structs`` was not run, so the nodes speak
        by the older one.
        """
        self.assertTrue(definitions())
        for definition in definitions():
            with self.subTest(definition=definition.name):
                committed = ast.parse(written_for(definition).read_text())
                wanted = ast.parse(source_of(definition))
                self.assertEqual(ast.dump(committed), ast.dump(wanted))
