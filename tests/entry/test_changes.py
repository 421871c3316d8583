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

    def apply_changed_bundle(self, **changes):
        """Bring a changed bundle into force at the node."""
        bundle = self.deployment.make_bundle(2)
        self.node.apply(msgspec.structs.replace(bundle, **changes))

    async def test_model_removed_while_a_request_waits_is_not_run(self):
        """Guards against serving a model that operators removed from an account.

        A request is validated and waits for admission. Meanwhile the bundle changes,
        and then the request is admitted. Without a second validation, the request
        would be served by the old rules, or fail inside the node.
        """
        enter = AdmissionGate.enter

        async def enter_and_change_bundle(gate, admission_request):
            ticket = await enter(gate, admission_request)
            accounts = self.deployment.make_bundle(2).accounts
            account = msgspec.structs.replace(accounts["bridge-team"], models=())
            self.apply_changed_bundle(accounts={**accounts, "bridge-team": account})
            return ticket

        body = json.dumps({"model": "clauses", "prompt": "x", "max_tokens": 2})
        with mock.patch.object(AdmissionGate, "enter", enter_and_change_bundle):
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

    async def test_service_removed_while_the_body_arrives_is_not_called(self):
        """Guards against a service call of a caller that lost the right to it.

        The headers arrive, the bundle changes, and then the body arrives. The rules
        must be checked again after the body was read.
        """

        read_body = _services.read_body

        async def read_and_change_bundle(request):
            body = await read_body(request)
            self.apply_changed_bundle(services={})
            return body

        url = self.url + "/services/drafting/notes"
        with mock.patch.object(_services, "read_body", read_and_change_bundle):
            async with self.session.post(
                url, data=b"revision", headers=self.headers
            ) as response:
                self.assertEqual(response.status, 404)
        self.assertEqual(self.deployment.service.bodies, [])

    async def test_run_continues_at_an_engine_that_a_bundle_removed(self):
        """Guards against losing a stream when its engine is removed from the bundle.

        A new bundle without the engine comes into force during the stream, and then
        the connection breaks. The node must still have the engine's client to resume
        the run.
        """
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
            self.apply_changed_bundle(upstreams=upstreams)
            text = await response.text()
        self.assertTrue(text.endswith("data: [DONE]\n\n"), text)
