import unittest

from fireflyward.peers import pack, unpack
from fireflyward.routing import LoadCodec, LoadEntry, LoadNews
from fireflyward.upstreams import LoadReport

WANTED = {"r1": {"m": "v2"}, "r2": {"m": "v2", "n": "v1"}}


def codec(wanted=WANTED):
    made = LoadCodec()
    made.set_wanted(wanted)
    return made


class LoadCodecTests(unittest.TestCase):
    def carry(self, sender, receiver, entry, *, now_ms=10_000):
        news = sender.encode(now_ms, [entry], urgent=False)
        carried = unpack(LoadNews, pack(news))
        return receiver.decode(now_ms + 5, carried), news

    def entry(self, versions=None, **changes):
        report = LoadReport(3, 7, 1_280, 640, versions or {"m": "v2"}, **changes)
        return LoadEntry("r1", 9_000, codec().shorten(report))

    def test_entry_comes_back_whole(self):
        entry = self.entry(epoch="boot-9", leaving=True)
        (got,), news = self.carry(codec(), codec(), entry)
        self.assertEqual(got.report, entry.report)
        self.assertEqual(got.measured_ms, 9_005)
        self.assertEqual(news.names, {})

    def test_versions_that_the_bundle_does_not_want_come_in_words(self):
        (got,), _ = self.carry(codec(), codec(), self.entry({"m": "v1"}))
        self.assertEqual(got.report.version_by_model, {"m": "v1"})

    def test_versions_by_a_bundle_that_is_not_here_yet_read_as_none(self):
        """Symptom: a prompt goes to a replica of another weight version. Sequence:
        the poller has the new bundle and names only what differs from it; this
        node still has the old one. Cause: a hash that is not known was taken for
        what this node expects."""
        behind = codec({"r1": {"m": "v1"}})
        (got,), _ = self.carry(codec(), behind, self.entry())
        self.assertEqual(got.report.version_by_model, {})

    def test_epoch_of_own_word_and_of_hearsay_is_the_same(self):
        """Symptom: caches are forgotten all day. Sequence: a replica's report comes
        by a peer and then by an own poll. Cause: one had the long epoch."""
        entry = self.entry(epoch="a-long-epoch")
        (got,), _ = self.carry(codec(), codec(), entry)
        self.assertEqual(got.report.epoch, entry.report.epoch)

    def test_unreachable_comes_back_without_a_report(self):
        (got,), _ = self.carry(codec(), codec(), LoadEntry("r1", 9_000, None))
        self.assertIsNone(got.report)

    def test_great_values_are_cut_and_not_wrapped(self):
        report = LoadReport(9_999, 9_999, 99_999_999, 9_999_999, {"m": "v2"})
        (got,), _ = self.carry(codec(), codec(), LoadEntry("r1", 0, report))
        self.assertEqual(got.report.queued, 255)
        self.assertEqual(got.report.queued_prefill_tokens, 32_767 * 64)

    def test_replica_that_the_bundle_does_not_name_is_passed_over(self):
        got, _ = self.carry(codec(), codec({"r2": {"m": "v2"}}), self.entry())
        self.assertEqual(got, [])

    def test_lists_of_unlike_length_are_refused(self):
        news = codec().encode(0, [self.entry()], urgent=False)
        news.small = news.small[:-1]
        self.assertEqual(codec().decode(0, news), [])
        news = codec().encode(0, [self.entry()], urgent=False)
        news.versions = []
        self.assertEqual(codec().decode(0, news), [])
