"""Tests of the client of plain services against the stand-in over real sockets."""

import unittest

from fireflyward.connections import Sessions
from fireflyward.standins import ServiceServer
from fireflyward.upstreams import Broken, HttpService, Refused, ServiceCall
from tests.platform_standins import response

from .raw_upstream import RawUpstream


class ServiceHttpTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = ServiceServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.sessions = Sessions()
        self.addAsyncCleanup(self.sessions.close)
        self.service = HttpService(
            self.sessions.pooled, self.server.url, fresh=self.sessions.fresh
        )

    def call(self, **options):
        return ServiceCall("POST", "/revisions/7", b"r7", run_id="r1", **options)

    async def test_reply(self):
        reply = await self.service.call(self.call(may_send=lambda: True))
        self.assertEqual(reply.body, b"POST /revisions/7\nr7")

    async def test_call_is_withheld_when_its_permit_has_expired(self):
        result = await self.service.call(self.call(may_send=lambda: False))
        self.assertEqual((type(result), result.may_have_run), (Broken, False))
        self.assertEqual(self.server.bodies, [])

    async def test_reply_to_another_run_is_not_accepted(self):
        self.server.faults.crossed_replies = 1
        result = await self.service.call(self.call())
        self.assertEqual((type(result), result.may_have_run), (Broken, True))

    async def test_refusal_proves_that_nothing_ran(self):
        self.server.faults.refusals = 1
        self.assertIsInstance(await self.service.call(self.call()), Refused)
        self.assertEqual(self.server.bodies, [])

    async def test_a_refusal_of_another_run_proves_nothing(self):
        """Guards against a call that runs though a late refusal says otherwise."""
        upstream = RawUpstream()
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        service = HttpService(self.sessions.pooled, f"http://{upstream.address}")
        for named in ((), (("X-Run-Id", "r0"),)):
            with self.subTest(named):
                upstream.answers = [response(503, headers=[("X-Not-Run", "1"), *named])]
                result = await service.call(self.call())
                self.assertEqual((type(result), result.may_have_run), (Broken, True))

    async def test_a_call_whose_connection_breaks_is_sent_once(self):
        """Guards against repeats that neither the retry budget nor the trace counts."""
        for method in ("GET", "PUT", "DELETE"):
            with self.subTest(method):
                upstream = RawUpstream()
                await upstream.start()
                self.addAsyncCleanup(upstream.stop)
                url = f"http://{upstream.address}"
                service = HttpService(self.sessions.pooled, url)
                upstream.answers = [response(200)]
                call = ServiceCall(method, "/revisions/7", run_id="r1")
                await service.call(call)
                result = await service.call(call)
                self.assertEqual((type(result), result.may_have_run), (Broken, True))
                self.assertEqual(len(upstream.requests), 2)

    async def test_redirect_is_returned_and_not_followed(self):
        """Guards against a revision that is recorded twice.

        A service answers a call with status 307. The HTTP library must not send the
        body again to the new address.
        """
        self.server.faults.redirects = 1
        reply = await self.service.call(self.call())
        self.assertEqual(reply.status, 307)
        self.assertEqual(self.server.bodies, [b"r7"])
