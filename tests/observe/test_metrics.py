import unittest

from fireflyward.observe import Metrics


class MetricsTests(unittest.TestCase):
    def test_text_has_counters_gauges_and_quantiles(self):
        metrics = Metrics()
        metrics.count("requests_total", outcome="answered")
        metrics.count("requests_total", by=2, outcome="answered")
        metrics.gauge("bundle_number", 7)
        for value in range(1, 101):
            metrics.observe_ms("first_token_ms", value)
        text = metrics.text()
        self.assertIn('fireflyward_requests_total{outcome="answered"} 3', text)
        self.assertIn("fireflyward_bundle_number 7", text)
        self.assertIn('fireflyward_first_token_ms{quantile="0.5"} 50', text)
        self.assertIn("fireflyward_first_token_ms_count 100", text)

    def test_line_breaks_in_label_values_are_escaped(self):
        metrics = Metrics()
        metrics.count("x_total", part='a"\n} 1')
        self.assertEqual(len(metrics.text().splitlines()), 1)

    def test_value_above_the_range_is_clamped(self):
        metrics = Metrics()
        metrics.observe_ms("slow_ms", 1e12)
        self.assertLessEqual(metrics.quantile_ms("slow_ms", 99), 3_700_000)
