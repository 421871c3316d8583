import unittest

from fireflyward.attribution import Origin, UsedConnections, origin_of, proves_not_run


class OriginTests(unittest.TestCase):
    def test_only_a_response_with_the_same_id_belongs_to_a_request(self):
        self.assertIs(origin_of("q1", "q1"), Origin.OWN)
        self.assertIs(origin_of("q1", "Q1"), Origin.OTHER)
        self.assertIs(origin_of("q1", ""), Origin.OTHER)
        self.assertIs(origin_of("q1", None), Origin.UNNAMED)

    def test_a_call_without_an_id_takes_no_response_to_a_request(self):
        self.assertIs(origin_of(None, None), Origin.OWN)
        self.assertIs(origin_of(None, "q1"), Origin.OTHER)

    def test_only_a_rejection_that_names_the_request_is_a_proof(self):
        self.assertTrue(proves_not_run("q1", "q1"))
        for named_id in (None, "", "q0"):
            self.assertFalse(proves_not_run("q1", named_id))


class _Equal:
    """Compares equal to every other object of its kind."""

    def __eq__(self, other):
        return isinstance(other, _Equal)

    __hash__ = None


class UsedConnectionsTests(unittest.TestCase):
    def test_connections_are_told_apart_by_identity(self):
        used, connection = UsedConnections(), _Equal()
        used.add(connection)
        self.assertIn(connection, used)
        self.assertNotIn(_Equal(), used)
