"""Streams are cut into whole events, however the bytes arrive."""

import unittest

from hypothesis import given, strategies as st

from fireflyward.forwarding import EventSplitter


class EventTests(unittest.TestCase):
    @given(st.integers(1, 8), st.lists(st.integers(1, 20), max_size=40))
    def test_any_cut_gives_the_same_events(self, count, sizes):
        data = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, count + 1))
        splitter, events, at = EventSplitter(), [], 0
        for size in [*sizes, len(data)]:
            events += splitter.feed(data[at : at + size])
            at += size
        self.assertEqual(b"".join(event.data for event in events), data)
        self.assertEqual([e.number for e in events], list(range(1, count + 1)))
        self.assertEqual(splitter.rest, b"")

    def test_half_an_event_is_kept_back(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: ha"), [])
        self.assertEqual(splitter.rest, b"id: 1\ndata: ha")

    def test_events_without_a_number(self):
        (event,) = EventSplitter().feed(b"data: x\n\n")
        self.assertIsNone(event.number)
