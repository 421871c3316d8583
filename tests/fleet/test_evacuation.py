"""Evacuated failure domains, whose replicas get no requests; over sockets."""

import asyncio
from types import SimpleNamespace

from tests.platform_standins import ReplicaBehavior, StoreBehavior

from .node_fixtures import STREAM, NodeTestCase


class EvacuationTests(NodeTestCase):
    """One plain replica and one engine in each of the failure domains a and b."""

    def list_replicas(self):
        for service, replicas in (("plain", self.plain), ("engines", self.engines)):
            for replica, domain in zip(replicas, "ab", strict=True):
                entry = replica.entry(service, zone=domain)
                self.store.put("servers", replica.incarnation, entry)

    def settings(self, **changes):
        return super().settings(zones={"a": "region", "b": "region"}, **changes)

    @property
    def evacuated(self):
        return self.node._directory.evacuated

    async def evacuate(self, *domains):
        for domain in domains:
            self.operator.evacuate(domain)
        await self.until(lambda: self.evacuated == frozenset(domains))

    async def assert_used(self, replica, *, full):
        """Check that a replica serves requests while another one is full."""
        full.behaviors = [ReplicaBehavior.FULL]
        self.assertEqual(await self.fetch_repeatedly(), {200})
        self.assertGreater(self.run_count([replica]), 0)

    async def fetch_repeatedly(self, method="GET", path="/r/x", **options):
        """Send several requests; return the statuses of the responses."""
        responses = [await self.fetch(method, path, **options) for _ in range(12)]
        return {status for status, _, _ in responses}

    async def test_an_evacuated_domain_gets_no_requests_until_its_row_is_removed(self):
        """Guards against requests to a failure domain that is being evacuated.

        The operator writes a row for the domain. No node read such rows, so its
        replicas were chosen as before, and the requests there were lost with the
        replicas.
        """
        await self.start_ready()
        await self.evacuate("b")
        self.assertEqual(await self.fetch_repeatedly(), {200})
        self.assertEqual(await self.fetch_repeatedly("POST", "/w/x", data=b"1"), {200})
        self.assertEqual(
            await self.fetch_repeatedly("POST", "/s/x", headers=STREAM), {200}
        )
        self.assertEqual(self.run_count([self.plain[1], self.engines[1]]), 0)
        self.operator.withdraw_evacuation("b")
        await self.until(lambda: not self.evacuated)
        await self.assert_used(self.plain[1], full=self.plain[0])

    async def test_a_retry_is_not_sent_to_an_evacuated_domain(self):
        """Guards against retries that still reach an evacuated failure domain.

        First attempts avoid the domain. The one remaining replica fails, a retry
        follows, and the replica in the evacuated domain is the only one that has not
        been tried.
        """
        await self.start_ready()
        await self.evacuate("b")
        self.plain[0].behaviors = [ReplicaBehavior.RESETS]
        await self.fetch("GET", "/r/x")
        self.assertEqual(self.run_count(self.plain[1:]), 0)

    async def test_a_broken_stream_does_not_resume_in_an_evacuated_domain(self):
        """Guards against cut streams that resume in the evacuated domain."""
        await self.start_ready()
        await self.evacuate("b")
        self.engines[0].behaviors = [ReplicaBehavior.TRUNCATES_STREAM] * 3
        async with asyncio.timeout(5):
            try:
                await self.fetch("POST", "/s/x", headers=STREAM)
            except OSError:
                pass
            except Exception as error:
                self.assertEqual(type(error).__name__, "ClientPayloadError")
        self.assertEqual(self.run_count(self.engines[1:]), 0)

    async def test_a_stream_in_flight_in_an_evacuated_domain_completes(self):
        """Guards against losing streams that the evacuated domain still serves."""
        await self.start_ready()
        await self.evacuate("a")
        self.engines[1]._pause_s = 0.1
        async with self.request("POST", "/s/x", headers=STREAM) as response:
            await response.content.readany()
            self.operator.evacuate("b")
            await self.until(lambda: self.evacuated == {"a", "b"})
            rest = await response.read()
        self.assertIn(b"id: 4", rest)

    async def test_with_all_domains_evacuated_requests_are_rejected_at_once(self):
        """Guards against callers waiting for a deadline while no replica is usable."""
        await self.start_ready()
        await self.evacuate("a", "b")
        for method, path in (("GET", "/r/x"), ("POST", "/w/x")):
            async with asyncio.timeout(1):
                status, headers, _ = await self.fetch(method, path)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.run_count(self.plain), 0)

    async def test_a_node_applies_an_evacuation_before_it_serves(self):
        """Guards against a restarted node that briefly uses an evacuated domain."""
        self.operator.evacuate("b")
        await self.start_ready()
        self.plain[0].behaviors = [ReplicaBehavior.FULL] * 40
        self.assertEqual(await self.fetch_repeatedly(), {503})
        self.assertEqual(self.run_count(self.plain[1:]), 0)

    async def test_an_evacuation_stays_in_force_without_the_store(self):
        """Guards against using the evacuated domain while the store is unavailable."""
        await self.start_ready()
        await self.evacuate("b")
        self.store.behavior = StoreBehavior.BUSY
        await asyncio.sleep(0.3)
        self.assertEqual(await self.fetch_repeatedly("POST", "/w/x", data=b"1"), {200})
        self.assertEqual(self.run_count(self.plain[1:]), 0)

    async def test_an_evacuation_withdrawn_in_a_lost_history_ends(self):
        """Guards against a domain that stays evacuated permanently.

        The row was removed while the node could not follow the table, and the store
        dropped its history. The node then read a snapshot without the row.
        """
        await self.start_ready()
        await self.evacuate("b")
        self.store.behavior = StoreBehavior.HISTORY_LOST
        self.operator.withdraw_evacuation("b")
        await self.until(lambda: not self.evacuated)

    async def test_rows_without_a_known_domain_do_no_harm(self):
        """Guards against a node that exits because of a malformed operator row."""
        await self.start_ready()
        with self.assertLogs("fireflyward.views", "ERROR") as logged:
            self.operator.evacuate("b", b"\xff[")
            self.operator.evacuate("", b"{}")
            self.operator.evacuate("moon", b"{}")
            await self.until(lambda: self.evacuated == {"moon"})
        self.assertEqual(len(logged.records), 3)
        await self.assert_used(self.plain[1], full=self.plain[0])

    async def test_the_metrics_count_evacuated_domains(self):
        await self.start_ready()
        await self.evacuate("b")
        request = SimpleNamespace(path="/metrics")
        text = (await self.node._status_server._serve_metrics(request)).text
        self.assertRegex(text, r"evacuated_failure_domains\S* 1")
