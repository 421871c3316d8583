"""Streams are split into complete events, however the bytes arrive."""

import unittest

from hypothesis import given, strategies as st

from fireflyward.forwarding import EventSplitter


class EventTests(unittest.TestCase):
    @given(st.integers(1, 8), st.lists(st.integers(1, 20), max_size=40))
    def test_any_split_of_the_bytes_gives_the_same_events(self, count, sizes):
        data = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, count + 1))
        splitter, events, position = EventSplitter(), [], 0
        for size in [*sizes, len(data)]:
            events += splitter.feed(data[position : position + size])
            position += size
        self.assertEqual(b"".join(event.data for event in events), data)
        self.assertEqual([e.number for e in events], list(range(1, count + 1)))
        self.assertEqual(splitter.incomplete, b"")

    def test_an_id_that_no_stream_reaches_is_no_id(self):
        """Guards against a stream that ends, or skips its events, for one long id."""
        data = b"id: %s\n\nid: %s\n\nid: 7\n\n" % (b"9" * 5_000, b"9" * 19)
        numbers = [event.number for event in EventSplitter().feed(data)]
        self.assertEqual(numbers, [None, None, 7])

    def test_an_incomplete_event_is_not_returned(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: ha"), [])
        self.assertEqual(splitter.incomplete, b"id: 1\ndata: ha")

    @given(st.binary(max_size=30).map(lambda data: data.replace(b"x", b"\n\n")))
    def test_a_bounded_call_leaves_the_other_events_to_the_next(self, data):
        whole, splitter = EventSplitter(), EventSplitter()
        expected = whole.feed(data)
        found = splitter.feed(data, max_events=1)
        while more := splitter.feed(max_events=1):
            found += more
        self.assertEqual(found, expected)
        self.assertEqual(splitter.incomplete, whole.incomplete)
        self.assertEqual(splitter.events, len(expected))
        self.assertEqual(splitter.received_bytes, len(data))

    def test_an_event_without_an_id_has_no_number(self):
        (event,) = EventSplitter().feed(b"data: x\n\n")
        self.assertIsNone(event.number)
