"""Odd entries whose software versions are many and long, beside sound ones."""

import asyncio
import json

from .test_software_versions import _TOLD_S, SoftwareVersionTestCase

_ODD = 8


class OddVersionTests(SoftwareVersionTestCase):
    node_count = 6

    async def test_streams_go_on_beside_long_versions_of_no_replica(self):
        """Guards against answers about streams that are too long for a datagram."""
        await self.start_nodes()
        entry = json.loads(self.engines[0].entry("engines"))
        for number in range(_ODD):
            odd = {
                **entry,
                "address": "127.0.0.1:1",
                "version": f"{number}" * 200,
                "models": [],
            }
            self.store.put("servers", f"odd-{number}", json.dumps(odd).encode())
        count = len(self.plain) + len(self.engines) + _ODD
        for node in self.nodes:
            await self.until(lambda node=node: len(node._directory) == count)
            streams = node._replica_components.streams
            await self.until(
                lambda streams=streams: streams.begins_at("engines") is None
            )
        begun = await self.begin_all()
        await asyncio.sleep(_TOLD_S)
        others = [*self.nodes[1:], self.nodes[0]]
        continued = await self.resume_all(begun, nodes=others)
        self.assertEqual(continued, len(begun))
