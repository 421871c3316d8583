import unittest

from fireflyward.peers import pack, unpack
from fireflyward.routing import LoadCodec, LoadEntry, LoadNews
from fireflyward.upstreams import LoadReport

WANTED = {"r1": {"m": "v2"}, "r2": {"m": "v2", "n": "v1"}}


def codec(wanted=WANTED):
    made = LoadCodec()
    made.set_target_versions(wanted)
    return made


class LoadCodecTests(unittest.TestCase):
    def transfer(self, sender, receiver, entry, *, now_ms=10_000):
        update = sender.encode(now_ms, [entry], urgent=False)
        received = unpack(LoadNews, pack(update))
        return receiver.decode(now_ms + 5, received), update

    def entry(self, versions=None, **changes):
        report = LoadReport(3, 7, 1_280, 640, versions or {"m": "v2"}, **changes)
        return LoadEntry("r1", 9_000, codec().shorten(report))

    def test_entry_is_decoded_unchanged(self):
        entry = self.entry(epoch="boot-9", leaving=True)
        (got,), update = self.transfer(codec(), codec(), entry)
        self.assertEqual(got.report, entry.report)
        self.assertEqual(got.measured_ms, 9_005)
        self.assertEqual(update.names, {})

    def test_versions_other_than_the_bundles_are_sent_as_text(self):
        (got,), _ = self.transfer(codec(), codec(), self.entry({"m": "v1"}))
        self.assertEqual(got.report.version_by_model, {"m": "v1"})

    def test_versions_of_a_newer_bundle_are_decoded_as_none(self):
        """A prompt was sent to a replica with another weight version. The poller had
        the new bundle, so it sent its versions as a hash only; the receiving node
        still had the old bundle. It treated the unknown hash as its own versions."""
        behind = codec({"r1": {"m": "v1"}})
        (got,), _ = self.transfer(codec(), behind, self.entry())
        self.assertEqual(got.report.version_by_model, {})

    def test_polled_and_received_reports_have_the_same_epoch(self):
        """The recorded prefixes of replicas were dropped all day. Reports of one
        replica came from another node and from own polls in turn, and only the
        polled ones had the long epoch, so each change looked like a restart."""
        entry = self.entry(epoch="a-long-epoch")
        (got,), _ = self.transfer(codec(), codec(), entry)
        self.assertEqual(got.report.epoch, entry.report.epoch)

    def test_unreachable_replica_is_decoded_without_a_report(self):
        (got,), _ = self.transfer(codec(), codec(), LoadEntry("r1", 9_000, None))
        self.assertIsNone(got.report)

    def test_large_values_are_clamped_and_do_not_wrap(self):
        report = LoadReport(9_999, 9_999, 99_999_999, 9_999_999, {"m": "v2"})
        (got,), _ = self.transfer(codec(), codec(), LoadEntry("r1", 0, report))
        self.assertEqual(got.report.queued, 255)
        self.assertEqual(got.report.queued_prefill_tokens, 32_767 * 64)

    def test_replica_that_is_not_in_the_bundle_is_ignored(self):
        got, _ = self.transfer(codec(), codec({"r2": {"m": "v2"}}), self.entry())
        self.assertEqual(got, [])

    def test_lists_of_different_lengths_are_rejected(self):
        update = codec().encode(0, [self.entry()], urgent=False)
        update.small = update.small[:-1]
        self.assertEqual(codec().decode(0, update), [])
        update = codec().encode(0, [self.entry()], urgent=False)
        update.versions = []
        self.assertEqual(codec().decode(0, update), [])
