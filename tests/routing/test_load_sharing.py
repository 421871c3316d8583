import unittest
from dataclasses import replace

from fireflyward.bench._load_mesh import LoadMesh
from fireflyward.routing import LoadSharing, WatchedReplica, watch_list
from fireflyward.upstreams import LoadReport


class LoadMeshTests(unittest.TestCase):
    def all_match(self, mesh, condition):
        """Return whether every live node's newest entries satisfy ``condition``."""
        return all(
            condition(node.report_by_name)
            for node in mesh.node_by_name.values()
            if node.is_alive
        )

    def run_until(self, mesh, condition, limit_ms):
        began_ms = mesh.now_ms
        while not self.all_match(mesh, condition):
            mesh.run(50)
            self.assertLess(mesh.now_ms - began_ms, limit_ms)
        return mesh.now_ms - began_ms

    def test_every_node_gets_the_load_of_every_replica(self):
        for nodes in (1, 2, 5, 6, 7, 12, 35):
            with self.subTest(nodes=nodes):
                mesh = LoadMesh(nodes, 40)
                mesh.run(8_000)
                for node in mesh.node_by_name.values():
                    self.assertEqual(set(node.report_by_name), set(mesh.report_by_name))

    def test_each_replica_has_one_poller_at_a_time(self):
        mesh = LoadMesh(9, 40)
        mesh.run(8_000)
        mesh.reset_counts()
        mesh.run(10_000)
        periods = 10_000 / mesh.node_by_name["entry-here-0"].sharing.period_ms()
        polls = sum(node.polls for node in mesh.node_by_name.values())
        self.assertLessEqual(polls, 40 * (periods + 1))

    def test_leaving_replica_is_known_to_all_nodes_within_three_seconds(self):
        """A leaving replica got runs for five seconds. Its poller sent the change
        together with ordinary reports, which wait for two rounds of sharing."""
        mesh = LoadMesh(35, 120)
        mesh.run(8_000)
        leaving = replace(mesh.report_by_name["replica-7"], leaving=True)
        mesh.report_by_name["replica-7"] = leaving
        self.run_until(mesh, lambda reports: reports["replica-7"].leaving, 3_000)

    def test_new_version_is_known_to_all_nodes_in_half_a_second_during_a_rollout(self):
        """Runs of the old version were rejected by replicas that had the new one. A
        replica was reloaded just after its poll and polled again only two seconds
        later."""
        mesh = LoadMesh(35, 40)
        for name in ("replica-3", "replica-7"):
            old = replace(mesh.report_by_name[name], version_by_model={"m": "v0"})
            mesh.report_by_name[name] = old
        mesh.run(8_000)
        mesh.report_by_name["replica-7"] = LoadReport(0, 0, 0, 0, {"m": "v1"})
        self.run_until(
            mesh,
            lambda reports: reports["replica-7"].version_by_model == {"m": "v1"},
            500,
        )

    def test_rejection_by_a_leaving_replica_reaches_all_nodes_in_100_ms(self):
        mesh = LoadMesh(35, 120)
        mesh.run(8_000)
        sharing = mesh.node_by_name["entry-here-3"].sharing
        actions = sharing.on_leaving(mesh.now_ms, "replica-7")
        mesh._perform_all("entry-here-3", actions)
        mesh.run(100)
        informed = [
            name
            for name, node in mesh.node_by_name.items()
            if node.report_by_name["replica-7"].leaving
        ]
        self.assertEqual(len(informed), 34)

    def test_replicas_of_a_crashed_poller_are_polled_by_the_next_node(self):
        """Some working replicas got no runs. Their poller had crashed, and no other
        node polled them until membership had removed it from the list of nodes."""
        mesh = LoadMesh(6, 30)
        mesh.run(8_000)
        mesh.node_by_name["entry-here-2"].is_alive = False
        mesh.run(12_000)
        period_ms = mesh.node_by_name["entry-here-0"].sharing.period_ms()
        for name, node in mesh.node_by_name.items():
            if node.is_alive:
                self.assertLess(mesh.oldest_entry_ms(name), 8 * period_ms)

    def test_node_that_receives_no_datagrams_eventually_polls_all_replicas(self):
        mesh = LoadMesh(9, 30, loss=1.0)
        mesh.run(15_000)
        for node in mesh.node_by_name.values():
            self.assertEqual(set(node.report_by_name), set(mesh.report_by_name))

    def test_unreachable_replica_is_not_polled_by_everyone(self):
        """The address of a crashed replica was flooded with polls. Nodes sent each
        other only successful polls, so every node assumed that the replica's poller
        had crashed and polled the replica itself."""
        mesh = LoadMesh(12, 30)
        mesh.report_by_name["replica-3"] = None
        mesh.run(8_000)
        mesh.reset_counts()
        mesh.run(10_000)
        periods = 10_000 / mesh.node_by_name["entry-here-0"].sharing.period_ms()
        polls = sum(node.polls for node in mesh.node_by_name.values())
        self.assertLessEqual(polls, 30 * (periods + 1))
        self.assertTrue(
            self.all_match(mesh, lambda reports: reports["replica-3"] is None)
        )

    def test_reports_are_a_few_periods_old_if_a_fifth_of_datagrams_is_lost(self):
        mesh = LoadMesh(9, 30, loss=0.2)
        mesh.run(20_000)
        period_ms = mesh.node_by_name["entry-here-0"].sharing.period_ms()
        for name in mesh.node_by_name:
            self.assertLess(mesh.oldest_entry_ms(name), 6 * period_ms)


class LoadSharingTests(unittest.TestCase):
    def test_older_report_does_not_replace_a_newer_one(self):
        sharing = LoadSharing("a", "here")
        sharing.set_replicas([WatchedReplica("r", "here", {"m": "v1"})])
        report = LoadReport(0, 0, 0, 0, {"m": "v1"})
        entry, _ = sharing.on_polled(1_000, "r", report)
        self.assertIsNotNone(entry)
        entry, _ = sharing.on_polled(1_100, "r", replace(report, age_ms=500))
        self.assertIsNone(entry)


class WatchListTests(unittest.TestCase):
    def replicas(self, *domains):
        return [
            WatchedReplica(f"{domain}-{index}", domain, {"m": "v1"})
            for index, domain in enumerate(domains)
        ]

    def test_small_deployment_watches_all(self):
        replicas = self.replicas("a", "a", "b", "b", "c", "c")
        self.assertEqual(len(watch_list("a", replicas)), 6)

    def test_large_deployment_watches_its_own_and_one_remote_per_model(self):
        replicas = self.replicas(*["a"] * 120, *["b"] * 120, *["c"] * 120)
        watched = watch_list("a", replicas)
        self.assertEqual(sum(item.failure_domain == "a" for item in watched), 120)
        self.assertEqual(len(watched), 121)

    def test_model_of_other_domains_only_is_watched_there(self):
        replicas = self.replicas(*["b"] * 30)
        self.assertEqual(len(watch_list("a", replicas)), 8)
