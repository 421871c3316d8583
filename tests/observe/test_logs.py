import json
import logging
import unittest

from fireflyward.observe._logs import JsonFormatter


class JsonFormatterTests(unittest.TestCase):
    def test_json_line_has_the_part_and_the_extra_fields(self):
        record = logging.LogRecord(
            "fireflyward.entry", logging.INFO, "f", 1, "entry: %s", ("done\n",), None
        )
        record.account = "bridge-team"
        line = JsonFormatter().format(record)
        self.assertNotIn("\n", line)
        decoded = json.loads(line)
        self.assertEqual(decoded["part"], "entry")
        self.assertEqual(decoded["account"], "bridge-team")
        self.assertEqual(decoded["message"], "entry: done\n")
