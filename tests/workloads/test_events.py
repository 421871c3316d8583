import unittest

from fireflyward.workloads import EventClock


class EventClockTests(unittest.TestCase):
    def test_events_run_by_time_and_then_in_the_order_of_scheduling(self):
        clock, seen = EventClock(), []
        clock.call_at(20.5, lambda: seen.append(("c", clock.now_ms())))
        clock.call_at(10, lambda: seen.append(("a", clock.now_ms())))
        clock.call_at(10, lambda: clock.call_in(0, lambda: seen.append(("b", 10))))
        clock.run()
        self.assertEqual(seen, [("a", 10), ("b", 10), ("c", 20)])
