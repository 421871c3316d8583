"""Failure domains whose replicas are to get nothing, over sockets."""

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
        """Check that a replica serves what another one has no room for."""
        full.behaviors = [ReplicaBehavior.FULL]
        self.assertEqual(await self.ask_often(), {200})
        self.assertGreater(self.runs([replica]), 0)

    async def ask_often(self, method="GET", path="/r/x", **options):
        """Return the statuses of several requests."""
        asked = [await self.ask(method, path, **options) for _ in range(12)]
        return {status for status, _, _ in asked}

    async def test_an_evacuated_domain_gets_nothing_until_it_is_taken_back(self):
        """Symptom: requests went on reaching a failure domain that was being cleared.

        The operator writes a row for the domain. No node read such rows, so its
        replicas were chosen as before, and what ran there was lost with them.
        """
        await self.start_ready()
        await self.evacuate("b")
        self.assertEqual(await self.ask_often(), {200})
        self.assertEqual(await self.ask_often("POST", "/w/x", data=b"1"), {200})
        self.assertEqual(await self.ask_often("POST", "/s/x", headers=STREAM), {200})
        self.assertEqual(self.runs([self.plain[1], self.engines[1]]), 0)
        self.operator.withdraw_evacuation("b")
        await self.until(lambda: not self.evacuated)
        await self.assert_used(self.plain[1], full=self.plain[0])

    async def test_a_second_send_does_not_go_there_either(self):
        """Symptom: only retries reached the evacuated failure domain.

        The one replica that is left fails; a second send is due and the other
        replica is the only one that has not been tried.
        """
        await self.start_ready()
        await self.evacuate("b")
        self.plain[0].behaviors = [ReplicaBehavior.RESETS]
        await self.ask("GET", "/r/x")
        self.assertEqual(self.runs(self.plain[1:]), 0)

    async def test_a_stream_that_broke_off_does_not_resume_there(self):
        """Symptom: streams that a replica cut went on in the evacuated domain."""
        await self.start_ready()
        await self.evacuate("b")
        self.engines[0].behaviors = [ReplicaBehavior.TRUNCATES_STREAM] * 3
        async with asyncio.timeout(5):
            try:
                await self.ask("POST", "/s/x", headers=STREAM)
            except OSError:
                pass
            except Exception as error:
                self.assertEqual(type(error).__name__, "ClientPayloadError")
        self.assertEqual(self.runs(self.engines[1:]), 0)

    async def test_a_run_that_has_begun_there_ends_by_itself(self):
        """Symptom: callers lost streams that the evacuated domain was still serving."""
        await self.start_ready()
        await self.evacuate("a")
        self.engines[1]._pause_s = 0.1
        async with self.request("POST", "/s/x", headers=STREAM) as response:
            await response.content.readany()
            self.operator.evacuate("b")
            await self.until(lambda: self.evacuated == {"a", "b"})
            rest = await response.read()
        self.assertIn(b"id: 4", rest)

    async def test_with_all_domains_evacuated_callers_are_refused_at_once(self):
        """Symptom: callers waited for their deadline though nothing may be sent."""
        await self.start_ready()
        await self.evacuate("a", "b")
        for method, path in (("GET", "/r/x"), ("POST", "/w/x")):
            async with asyncio.timeout(1):
                status, headers, _ = await self.ask(method, path)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.runs(self.plain), 0)

    async def test_a_node_that_starts_knows_before_it_serves(self):
        """Symptom: for its first moments a restarted node used an evacuated domain."""
        self.operator.evacuate("b")
        await self.start_ready()
        self.plain[0].behaviors = [ReplicaBehavior.FULL] * 40
        self.assertEqual(await self.ask_often(), {503})
        self.assertEqual(self.runs(self.plain[1:]), 0)

    async def test_it_holds_while_the_store_is_away(self):
        """Symptom: the store went away and the evacuated domain was used again."""
        await self.start_ready()
        await self.evacuate("b")
        self.store.behavior = StoreBehavior.BUSY
        await asyncio.sleep(0.3)
        self.assertEqual(await self.ask_often("POST", "/w/x", data=b"1"), {200})
        self.assertEqual(self.runs(self.plain[1:]), 0)

    async def test_taken_back_while_the_store_forgets_its_history(self):
        """Symptom: a domain stayed evacuated for good.

        The row was removed while the node could not follow, and the store dropped
        its history: the removal came as a whole table without the row.
        """
        await self.start_ready()
        await self.evacuate("b")
        self.store.behavior = StoreBehavior.HISTORY_LOST
        self.operator.withdraw_evacuation("b")
        await self.until(lambda: not self.evacuated)

    async def test_rows_that_name_no_known_domain_harm_nothing(self):
        """Symptom: a node that could not read one row of the operator's stopped."""
        await self.start_ready()
        with self.assertLogs("fireflyward.views", "ERROR") as logged:
            self.operator.evacuate("b", b"\xff[")
            self.operator.evacuate("", b"{}")
            self.operator.evacuate("moon", b"{}")
            await self.until(lambda: self.evacuated == {"moon"})
        self.assertEqual(len(logged.records), 3)
        await self.assert_used(self.plain[1], full=self.plain[0])

    async def test_the_metrics_tell_of_it(self):
        await self.start_ready()
        await self.evacuate("b")
        request = SimpleNamespace(path="/metrics")
        text = (await self.node._own_pages._answer_metrics(request)).text
        self.assertRegex(text, r"evacuated_failure_domains\S* 1")
