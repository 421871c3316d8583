"""Announcements of replicas that load weights."""

import unittest

from fireflyward.clock import ManualClock
from fireflyward.peers import pack
from fireflyward.replicas import ReplicaDirectory
from fireflyward.weights import LoadAnnouncer
from tests.replicas.makers import entry


class _Link:
    def __init__(self):
        self.sent = []

    def register(self, kind, struct_type, handle, **options):
        pass

    def send_all(self, addresses, kind, message):
        self.sent += [len(pack(message))] * len(list(addresses))


class LoadAnnouncerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.names = [f"i-{number:010x}" for number in range(300)]
        self.numbers = [entry(name).incarnation_id for name in self.names]
        self.directory = ReplicaDirectory()
        entries = [entry(name, version=1) for name in self.names]
        self.directory.on_full_read(0, entries)
        self.link = _Link()
        self.announcer = LoadAnnouncer(
            clock=ManualClock(),
            directory=self.directory,
            peer_addresses=lambda: [("10.0.0.1", n) for n in range(77)],
        )
        self.announcer.use(self.link)

    def are_loading(self):
        return [name for name in self.names if self.directory.find(name).is_loading(0)]

    async def test_many_replicas_share_one_datagram(self):
        """Guards against a rollout that stops after its holder was cut off.

        The next holder sent 77 nodes a separate datagram for each of 28 replicas. That
        was 430 KB at once, a third of a second on a link of 10 Mbit/s, so the reports
        that it polled afterwards always arrived too late.
        """
        await self.announcer.announce_loading(self.numbers[:28], "m", 2, 5_000)
        self.assertEqual(len(self.link.sent), 77)
        self.assertLess(sum(self.link.sent), 60_000)
        self.assertEqual(self.are_loading(), self.names[:28])

    async def test_many_replicas_are_split_over_datagrams(self):
        await self.announcer.announce_loading(self.numbers, "m", 2, 5_000)
        self.assertEqual(len(self.link.sent), 2 * 77)
        self.assertLess(max(self.link.sent), 1_300)
        self.assertEqual(self.are_loading(), self.names)

    async def test_a_replica_that_has_the_version_is_not_loading(self):
        self.directory.find(self.names[0]).update_entry(entry(self.names[0], version=2))
        await self.announcer.announce_loading(self.numbers[:2], "m", 2, 5_000)
        self.assertEqual(self.are_loading(), [self.names[1]])

    async def test_late_announcement_of_a_former_incarnation_is_ignored(self):
        """Guards against a restarted replica that gets no requests for five seconds.

        The replica crashed during its load and restarted under the same name. The
        announcement of the load of its former incarnation arrived only then.
        """
        name = self.names[0]
        again = entry(name, version=1, started_ms=5)
        self.directory.on_changes(0, [again], [])
        await self.announcer.announce_loading(self.numbers[:1], "m", 2, 5_000)
        self.assertEqual(self.are_loading(), [])
        await self.announcer.announce_loaded(self.numbers[0], "m", 2)
        self.assertEqual(self.directory.find(name).version_by_model, {"m": 1})
        await self.announcer.announce_loading([again.incarnation_id], "m", 2, 5_000)
        self.assertEqual(self.are_loading(), [name])
