import unittest

from aiohttp import web

from fireflyward.demo import DemoDeployment
from fireflyward.load import LoadPlan, LoadRun, RequestMode, draw_requests
from fireflyward.standins import answer_text
from fireflyward.standins._http_server import HttpServer

KEYS = {"bridge-team": "key-bridge", "tower-team": "key-tower"}
PROMPTS = {RequestMode.PROMPT: 1.0, RequestMode.STREAM: 0.0}


class WrongServer(HttpServer):
    """Answers every request with the answer to the first prompt that it received."""

    def __init__(self):
        super().__init__()
        self.first = None

    def build_app(self):
        app = web.Application()
        app.router.add_post("/v1/completions", self.answer)
        return app

    async def answer(self, request):
        body = await request.json()
        self.first = self.first or body
        text = answer_text(
            "clauses", "v1", "", self.first["prompt"], self.first["max_tokens"]
        )
        headers = {"X-Outcome": "answered", "X-Request-Id": "r", "X-Bundle": "0"}
        return web.json_response({"choices": [{"text": text}]}, headers=headers)


class DrawTests(unittest.TestCase):
    def test_one_seed_draws_the_same_requests_every_time(self):
        plan = LoadPlan(3, 50, KEYS)
        self.assertEqual(list(draw_requests(plan)), list(draw_requests(plan)))
        other = LoadPlan(4, 50, KEYS)
        self.assertNotEqual(list(draw_requests(plan)), list(draw_requests(other)))


class LoadRunTests(unittest.IsolatedAsyncioTestCase):
    async def test_all_answers_of_a_working_deployment_are_complete(self):
        plan = LoadPlan(1, 60, KEYS)
        async with DemoDeployment(
            nodes_per_domain=1, engines_per_domain=1
        ) as deployment:
            urls = [
                f"http://127.0.0.1:{node.port}"
                for node in deployment.node_by_name.values()
            ]
            report = await LoadRun(plan, urls).run()
        self.assertEqual(report.violations, [])
        self.assertEqual((report.answers, report.whole), (60, 60))
        calls = [item for item in draw_requests(plan) if item.mode is RequestMode.CALL]
        self.assertEqual(len(deployment.service.bodies), len(calls))

    async def test_answers_to_other_requests_are_reported_as_mixed(self):
        server = WrongServer()
        await server.start()
        self.addAsyncCleanup(server.stop)
        plan = LoadPlan(1, 10, KEYS, service_path="", share_by_mode=PROMPTS)
        report = await LoadRun(plan, [server.url], callers=1).run()
        self.assertEqual((report.whole, report.mixed), (1, 9))
        self.assertFalse(report.is_clean)

    async def test_requests_to_an_unreachable_node_are_reported_as_lost(self):
        plan = LoadPlan(1, 2, KEYS, service_path="", share_by_mode=PROMPTS)
        run = LoadRun(plan, ["http://127.0.0.1:9"], callers=2, time_limit_ms=100)
        report = await run.run()
        self.assertEqual((report.answers, report.lost), (0, 2))
