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

    def test_an_incomplete_event_is_not_returned(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: ha"), [])
        self.assertEqual(splitter.incomplete, b"id: 1\ndata: ha")

    def test_an_event_without_an_id_has_no_number(self):
        (event,) = EventSplitter().feed(b"data: x\n\n")
        self.assertIsNone(event.number)
