import json
import logging
import unittest

from fireflyward.observe._logs import JsonFormatter


class JsonFormatterTests(unittest.TestCase):
    def test_line_has_the_part_and_the_fields(self):
        record = logging.LogRecord(
            "fireflyward.entry", logging.INFO, "f", 1, "entry: %s", ("done\n",), None
        )
        record.account = "bridge-team"
        line = JsonFormatter().format(record)
        self.assertNotIn("\n", line)
        told = json.loads(line)
        self.assertEqual(told["part"], "entry")
        self.assertEqual(told["account"], "bridge-team")
        self.assertEqual(told["message"], "entry: done\n")
