"""A node that is out of step while replicas of a new software version join."""

import unittest
from unittest import mock

from .partition import Cut
from .test_partitioned_nodes import PartitionTestCase
from .test_software_versions import SoftwareVersionTestCase

_STREAMS = 6


class OutOfStepTestCase(SoftwareVersionTestCase, PartitionTestCase):
    """Three nodes; the last one misses that the second version joins."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        patch = mock.patch("fireflyward.streams._rows._START_PAUSE_MS", 0)
        patch.start()
        self.addCleanup(patch.stop)
        self.engines, self.late = self.engines[:3], self.engines[3:]
        for engine in self.late:
            self.store.remove("servers", engine.incarnation)

    async def start_nodes(self):
        await super().start_nodes()
        streams = [node._replica_components.streams for node in self.nodes]
        await self.until(
            lambda: all(each.stored.of("engines") == {"v1"} for each in streams)
        )

    @property
    def odd_node(self):
        return self.nodes[-1]

    def cut_from_store(self, *names):
        names = names or (self.odd_node._settings.node,)
        self.partition.begin(names, [self.store], Cut.REFUSED)

    def cut_sending(self, node, *others):
        """Let datagrams from a node to others be lost, to all without ``others``."""
        link = node._joining.link
        lost = [other._joining.link.address for other in others or self.nodes]
        send_all = link.send_all

        def send_some(addresses, kind, message):
            left = [address for address in addresses if address not in lost]
            return send_all(left, kind, message)

        link.send_all = send_some

    async def list_late(self, *, others=None):
        """List the second version, and wait until other nodes use it."""
        others = others or self.nodes[:-1]
        self.engines += self.late
        self.list_replicas()
        await self.until(
            lambda: all(
                len(node._directory) == len(self.plain) + len(self.engines)
                and node._replica_components.streams.begins_at("engines") is None
                for node in others
            )
        )

    async def begin_late(self):
        """Begin streams at the second version through the first node."""
        begun = []
        while len(begun) < _STREAMS:
            first_id, software = await self.begin(self.nodes[0])
            if software == "v2":
                begun.append(first_id)
        return begun

    async def count_resumed(self, begun):
        """Take streams of the second version up at the odd node."""
        return sum([await self.goes_on(self.odd_node, item, "v2") for item in begun])


class CutNodeTests(OutOfStepTestCase):
    async def test_a_node_cut_from_the_store_and_all_others(self):
        """Guards against a stream at the only version that an old list has."""
        await self.start_nodes()
        self.cut_from_store()
        for node in self.nodes:
            self.cut_sending(node)
        await self.list_late()
        begun = await self.begin_late()
        self.assertEqual(await self.count_resumed(begun), 0)

    async def test_the_node_that_stores_versions_is_cut(self):
        """Guards against a new version that the first node for the duty never saw."""
        await self.start_nodes()
        self.nodes.sort(key=lambda node: -node._place_for_software())
        self.cut_from_store()
        for node in self.nodes:
            self.cut_sending(node)
        await self.list_late()
        begun = await self.begin_late()
        self.assertEqual(await self.count_resumed(begun), 0)

    async def test_a_cut_node_is_in_step_again(self):
        """Guards against streams that stay lost after a cut."""
        await self.start_nodes()
        self.cut_from_store()
        await self.list_late()
        begun = await self.begin_late()
        self.assertEqual(await self.count_resumed(begun), 0)
        self.partition.end()
        replicas = len(self.plain) + len(self.engines)
        await self.until(lambda: len(self.odd_node._directory) == replicas)
        self.assertEqual(await self.count_resumed(begun), _STREAMS)

    async def test_a_node_cut_from_the_store_that_hears_nobody(self):
        """Guards against a cut of one way: others hear the question."""
        await self.start_nodes()
        self.cut_from_store()
        for node in self.nodes[:-1]:
            self.cut_sending(node, self.odd_node)
        await self.list_late()
        begun = await self.begin_late()
        self.assertEqual(await self.count_resumed(begun), 0)

    async def test_a_node_cut_from_the_store_whose_questions_are_lost(self):
        """Guards against a cut of the other way: the node hears of new versions."""
        await self.start_nodes()
        self.cut_from_store()
        self.cut_sending(self.odd_node)
        await self.list_late()
        begun = await self.begin_late()
        self.assertEqual(await self.count_resumed(begun), 0)

    async def test_two_nodes_cut_from_the_store_and_the_third(self):
        """Guards against the answer of a node that is out of step too."""
        await self.start_nodes()
        first, second, _ = self.nodes
        self.cut_from_store("entry-2", "entry-3")
        self.cut_sending(first)
        for node in (second, self.odd_node):
            self.cut_sending(node, first)
        await self.list_late(others=[first])
        begun = await self.begin_late()
        self.assertEqual(await self.count_resumed(begun), 0)

    async def test_a_resumed_stream_without_a_first_request(self):
        """Guards against an old list that decides where nobody can be asked."""
        await self.start_nodes()
        self.cut_from_store()
        for node in self.nodes:
            self.cut_sending(node)
        await self.list_late()
        for first_id in await self.begin_late():
            headers = {
                **self.stream_headers(first_id),
                "X-Request-Id": f"next-{first_id}",
                "Last-Event-Id": "3",
            }
            status, _, _ = await self.fetch(
                "POST", "/s/x", headers=headers, node=self.odd_node
            )
            self.assertEqual(status, 503)

    async def test_a_stream_goes_on_at_a_node_that_reaches_the_store_only(self):
        """Guards against streams that are lost with the nodes that know them."""
        await self.start_nodes()
        begun = [await self.begin(self.nodes[0]) for _ in range(_STREAMS)]
        for node in self.nodes:
            self.cut_sending(node)
        continued = await self.resume_all(begun, nodes=[self.odd_node])
        self.assertEqual(continued, _STREAMS)


class RestartedReplicaTests(OutOfStepTestCase):
    """Replicas restart with other software under their names."""

    async def test_a_node_with_an_old_list_begins_at_the_version_it_records(self):
        """Guards against a stream of v2 that is recorded as one of v1."""
        await self.start_nodes()
        patch = mock.patch("fireflyward.streams._task._MAX_LIST_AGE_MS", 500)
        patch.start()
        self.addCleanup(patch.stop)
        self.cut_from_store()
        directory = self.odd_node._directory
        clock = self.odd_node._clock
        await self.until(lambda: directory.confirmation.age_ms(clock.now_ms()) > 500)
        for engine in self.engines[:2]:
            for writer in engine._writers:
                writer.transport.abort()
            engine.restart(software="v2")
        begun = [await self.begin(self.odd_node) for _ in range(_STREAMS)]
        self.assertEqual({software for _, software in begun}, {"v1"})


if __name__ == "__main__":
    unittest.main()
