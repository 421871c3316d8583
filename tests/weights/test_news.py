"""What all nodes are told of replicas that load weights."""

import unittest

from fireflyward.clock import ManualClock
from fireflyward.peers import pack
from fireflyward.replicas import ReplicaDirectory
from fireflyward.weights import LoadNews
from tests.replicas.makers import entry


class _Link:
    def __init__(self):
        self.sent = []

    def register(self, kind, struct_type, handle):
        pass

    def send_all(self, addresses, kind, news):
        self.sent += [len(pack(news))] * len(list(addresses))


class LoadNewsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.names = [f"i-{number:010x}" for number in range(300)]
        self.numbers = [entry(name).number for name in self.names]
        self.directory = ReplicaDirectory()
        entries = [entry(name, version=1) for name in self.names]
        self.directory.on_full_read(0, entries, after_outage=False)
        self.link = _Link()
        self.news = LoadNews(
            clock=ManualClock(),
            directory=self.directory,
            peer_addresses=lambda: [("10.0.0.1", n) for n in range(77)],
        )
        self.news.use(self.link)

    def are_loading(self):
        return [name for name in self.names if self.directory.find(name).is_loading(0)]

    async def test_many_replicas_are_told_at_once(self):
        """Symptom: after its holder was cut off a rollout never goes on.

        The next holder told 77 nodes of each of 28 replicas in a datagram of its
        own. That is 430 KB at once, on a link of 10 Mbit/s a third of a second, and
        the reports that it then asked for came too late each time.
        """
        await self.news.loading(self.numbers[:28], "m", 2, 5_000)
        self.assertEqual(len(self.link.sent), 77)
        self.assertLess(sum(self.link.sent), 60_000)
        self.assertEqual(self.are_loading(), self.names[:28])

    async def test_what_does_not_fit_one_datagram_takes_more(self):
        await self.news.loading(self.numbers, "m", 2, 5_000)
        self.assertEqual(len(self.link.sent), 2 * 77)
        self.assertLess(max(self.link.sent), 1_300)
        self.assertEqual(self.are_loading(), self.names)

    async def test_one_that_has_the_version_is_not_loading(self):
        self.directory.find(self.names[0]).update_entry(entry(self.names[0], version=2))
        await self.news.loading(self.numbers[:2], "m", 2, 5_000)
        self.assertEqual(self.are_loading(), [self.names[1]])

    async def test_late_word_of_a_former_start_changes_nothing(self):
        """Symptom: a replica that crashed in its load gets nothing for five seconds.

        It started again under its name, and the news of the load that ended with its
        former start came only then.
        """
        name = self.names[0]
        again = entry(name, version=1, started_ms=5)
        self.directory.on_changes(0, [again], [], after_outage=False)
        await self.news.loading(self.numbers[:1], "m", 2, 5_000)
        self.assertEqual(self.are_loading(), [])
        await self.news.loaded(self.numbers[0], "m", 2)
        self.assertEqual(self.directory.find(name).version_by_model, {"m": 1})
        await self.news.loading([again.number], "m", 2, 5_000)
        self.assertEqual(self.are_loading(), [name])
