import unittest

from fireflyward.outcomes import Reason
from fireflyward.standins import EngineModel, EngineOrders, WeightSource
from fireflyward.upstreams import (
    Accepted,
    Broken,
    EngineCall,
    EngineOrder,
    OrderReason,
    OrderRefused,
    Refused,
)


def order(number, version, *, fencing=1):
    return EngineOrder(f"order-{number}", fencing, {"m": version})


def call(run_id, version):
    return EngineCall(run_id, "m", version, "x y z", 100)


class EngineOrderTests(unittest.TestCase):
    def setUp(self):
        self.engine = EngineOrders(EngineModel({"m": "v1"}))

    def test_engine_rejects_new_runs_of_a_model_while_it_loads(self):
        state = self.engine.handle_order(0, order(1, "v2"))
        self.assertEqual((state.version_by_model, state.loading), ({}, {"m": "v2"}))
        refused = self.engine.model.submit(10, call("r1", "v1"))
        self.assertIsInstance(refused, Refused)
        self.assertEqual(refused.reason, Reason.UNKNOWN_MODEL)
        self.assertEqual(self.engine.state(1_199).version_by_model, {})
        self.assertEqual(self.engine.state(1_200).version_by_model, {"m": "v2"})

    def test_accepted_run_finishes_on_its_version_before_the_load(self):
        self.assertIsInstance(self.engine.model.submit(0, call("r1", "v1")), Accepted)
        self.engine.handle_order(10, order(1, "v2"))
        self.assertEqual(self.engine.state(400).running_by_model, {"m": 1})
        self.engine.state(1_000)
        self.assertEqual(self.engine.model.run_by_id["r1"].call.version, "v1")
        self.assertEqual(self.engine.state(2_300).version_by_model, {"m": "v2"})

    def test_repeated_order_loads_once(self):
        self.engine.handle_order(0, order(1, "v2"))
        self.engine.state(1_200)
        self.engine.handle_order(1_300, order(1, "v2"))
        self.assertEqual(self.engine.loads, 1)

    def test_older_fencing_number_is_refused_only_if_fencing_is_honoured(self):
        for honours in (True, False):
            with self.subTest(honours=honours):
                engine = EngineOrders(EngineModel({"m": "v1"}), honours_fencing=honours)
                engine.handle_order(0, order(2, "v3", fencing=2))
                late = engine.handle_order(10, order(1, "v2", fencing=1))
                self.assertEqual(isinstance(late, OrderRefused), honours)

    def test_third_concurrent_load_slows_down_all(self):
        weights = WeightSource()
        engines = [
            EngineOrders(EngineModel({"m": "v1"}), weights=weights) for _ in range(3)
        ]
        for engine in engines:
            engine.handle_order(0, order(1, "v2"))
        self.assertEqual(engines[0].state(1_200).loading, {"m": "v2"})
        self.assertEqual(engines[0].state(1_800).loading, {})
        self.assertEqual(weights.max_concurrent_loads, 3)

    def test_faults_refuse_orders_lose_answers_and_fail_loads(self):
        self.engine.refuse = 1
        refused = self.engine.handle_order(0, order(1, "v2"))
        self.assertEqual(refused.reason, OrderReason.NOT_NOW)
        self.engine.lose_answers, self.engine.fail_loads = 1, 1
        self.assertIsInstance(self.engine.handle_order(0, order(1, "v2")), Broken)
        state = self.engine.state(1_200)
        self.assertIn("failed", state.failed)
        self.assertEqual(state.version_by_model, {})
