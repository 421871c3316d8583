import json
import unittest
from unittest import mock

import aiohttp
import msgspec

from fireflyward.demo import DemoDeployment
from fireflyward.entry import _services
from fireflyward.limits import AdmissionGate


class ChangeDuringRequestTests(unittest.IsolatedAsyncioTestCase):
    """A bundle comes into force while a request waits inside the node."""

    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.node = next(iter(self.deployment.node_by_name.values()))
        self.url = f"http://127.0.0.1:{self.node.port}"
        self.headers = {"Authorization": "Bearer key-bridge"}

    def put_in_force(self, **changes):
        """Have the node serve by a changed bundle from this moment on."""
        bundle = self.deployment.make_bundle(2)
        self.node.apply(msgspec.structs.replace(bundle, **changes))

    async def test_model_that_went_while_a_request_waited_is_not_run(self):
        """Symptom: a request fails inside the node, or an account is served a
        model that operators took from it. Sequence: the request is judged, waits
        for admission, the bundle changes, it is admitted. Cause: what was judged
        before the wait was used after it."""
        enter = AdmissionGate.enter

        async def wait_for_change(gate, ask):
            ticket = await enter(gate, ask)
            accounts = self.deployment.make_bundle(2).accounts
            account = msgspec.structs.replace(accounts["bridge-team"], models=())
            self.put_in_force(accounts={**accounts, "bridge-team": account})
            return ticket

        body = json.dumps({"model": "clauses", "prompt": "x", "max_tokens": 2})
        with mock.patch.object(AdmissionGate, "enter", wait_for_change):
            async with self.session.post(
                self.url + "/v1/completions", data=body, headers=self.headers
            ) as response:
                answer = await response.json()
        self.assertEqual(response.status, 404, answer)
        self.assertEqual(answer["error"]["type"], "not_run")
        self.assertEqual(response.headers["X-Bundle"], "2")
        for engine in self.deployment.engine_by_name.values():
            self.assertEqual(engine.model.run_by_id, {})
        self.assertEqual(self.node.admission.total(), 0)

    async def test_service_taken_away_while_the_body_came_is_not_called(self):
        """Symptom: a revision is recorded for a caller that lost the right to it.
        Sequence: headers come, the bundle changes, the body comes. Cause: rules
        that were read before the body and used after it."""

        read_body = _services.read_body

        async def change_after(request):
            body = await read_body(request)
            self.put_in_force(services={})
            return body

        url = self.url + "/services/drafting/notes"
        with mock.patch.object(_services, "read_body", change_after):
            async with self.session.post(
                url, data=b"revision", headers=self.headers
            ) as response:
                self.assertEqual(response.status, 404)
        self.assertEqual(self.deployment.service.bodies, [])

    async def test_run_goes_on_at_an_engine_that_a_bundle_left_out(self):
        """Symptom: a stream is lost when its engine is taken out of the bundle.
        Sequence: the stream is under way, the bundle leaves its engine out, the
        connection breaks. Cause: the node forgot the engine with the bundle, and
        had nowhere to resume."""
        server = next(iter(self.deployment.engine_by_name.values()))
        for other in list(self.deployment.engine_by_name.values())[1:]:
            other.model.leaving = True
        server.faults.cut_streams, server.faults.after_tokens = 1, 2
        body = json.dumps(
            {"model": "clauses", "prompt": "x", "max_tokens": 6, "stream": True}
        )
        upstreams = dict(self.deployment.make_bundle(2).upstreams)
        for name in self.deployment.engine_by_name:
            del upstreams[name]
        async with self.session.post(
            self.url + "/v1/completions", data=body, headers=self.headers
        ) as response:
            await response.content.readline()
            self.put_in_force(upstreams=upstreams)
            text = await response.text()
        self.assertTrue(text.endswith("data: [DONE]\n\n"), text)
