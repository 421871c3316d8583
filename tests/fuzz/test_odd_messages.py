"""Messages that no node of this build sends must not harm a node that accepts them."""

import asyncio
import os
from unittest import mock

from hypothesis import given, strategies as st

from fireflyward.relays._client import OPEN_TUNNEL
from fireflyward.replicas import Requirements
from tests.fleet.node_fixtures import NodeTestCase
from tests.fuzz.odd_messages import messages
from tests.fuzz.profiles import fuzz

_SERVICES = (("plain", ""), ("engines", "m"))


def drive(work):
    """Run a coroutine up to its first wait."""
    try:
        work.send(None)
    except StopIteration:
        return
    work.close()


class OddMessageTests(NodeTestCase):
    async def test_no_accepted_message_fails_a_task_or_a_request(self):
        """Guards against a message of another build that does harm much later."""
        with mock.patch.object(os, "_exit") as exit_process:
            await self.start_ready()
            await self.until(lambda: self.node._joining.link is not None)
            link = self.node._joining.link
            ids = [state.incarnation_id for state in self.node._directory.all()]
            # That one opens a connection, for which it would have to wait.
            kinds = sorted(link._handler_by_kind.keys() - {OPEN_TUNNEL})
            of_kind = st.sampled_from(kinds).flatmap(
                lambda kind: st.tuples(
                    st.just(kind),
                    messages(link._handler_by_kind[kind].struct_type, ids),
                )
            )

            @fuzz(400)
            @given(of_kind)
            def deliver(item):
                kind, message = item
                handler = link._handler_by_kind[kind]
                for handle in {handler.handle, handler.handle_delayed} - {None}:
                    drive(handle("entry-9", message))
                self.check_node(link)

            with self.assertNoLogs("fireflyward.process", "ERROR"):
                deliver()
                # Timers that the messages started have run by then.
                await asyncio.sleep(0.3)
                self.check_node(link)
            for state in self.node._directory.all():
                self.assertGreaterEqual(state.slowdown, 0.5)
        exit_process.assert_not_called()

    def check_node(self, link):
        """Call what runs for each request and in tasks."""
        components, now_ms = self.node._replica_components, self.node._clock.now_ms()
        for state in self.node._directory.all():
            for limit in (state.backpressure.limit, state.backpressure.brittle):
                self.assertTrue(0 <= (limit.per_second or 0.0) < 2**31)
        for service, model in _SERVICES:
            requirements = Requirements(service, model=model)
            components.chooser.choose(now_ms, requirements)
            self.assertLess(components.chooser.wait_ms(now_ms, service), 1e12)
        components.load_report_task.report(link)
        components.load_report_task._publish_sums(link, now_ms, {})
        components.streams.on_list()
        self.node._software_rows.due(now_ms)
        components.gauges()
        components.gauges_by_service()
        components.node_loads()
        drive(components.notices.run())
        components.notices._send([], self.node._directory.all())
        components.sum_report_task.report(link)
        self.node._crashes.gauges()
