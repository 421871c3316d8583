"""Random faults in random order; the invariants are checked after each."""

import unittest

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fireflyward.bench._membership_net import MembershipNet
from fireflyward.membership import MemberState, Received

NAMES = tuple(f"entry-{index}-{domain}" for domain in "01" for index in range(3))
SEEDS = (("entry-0-0", 1), ("entry-0-1", 1), ("entry-1-1", 1))
CONVERGENCE_LIMIT_MS = 240_000


class MembershipMachine(RuleBasedStateMachine):
    """A deployment of two failure domains of three nodes under random faults."""

    def __init__(self):
        super().__init__()
        self.net = MembershipNet(seed=1)
        self.net.start_many(2, 3)
        for name in NAMES:
            self.net.seed(name, SEEDS)
        self.cut = set()
        self.net.is_blocked = lambda one, other: frozenset((one, other)) in self.cut
        self.highest_by_view = {}

    @rule(duration_ms=st.integers(50, 20_000))
    def pass_time(self, duration_ms):
        self.net.run_ms(duration_ms)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name):
        if name in self.net.node_by_name and len(self.net.node_by_name) > 2:
            self.net.kill(name)
            self.forget(name)

    @rule(name=st.sampled_from(NAMES), incarnation=st.integers(-5, 50))
    def start(self, name, incarnation):
        if name not in self.net.node_by_name:
            domain = f"domain-{name[-1]}"
            self.net.start(name, domain, SEEDS, incarnation=incarnation)
            self.forget(name)

    @rule(name=st.sampled_from(NAMES))
    def pause(self, name):
        if name in self.net.node_by_name:
            self.net.paused.add(name)

    @rule(name=st.sampled_from(NAMES))
    def resume(self, name):
        self.net.resume(name)

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def cut_link(self, one, other):
        if one != other:
            self.cut.add(frozenset((one, other)))

    @rule(domain=st.sampled_from("01"))
    def cut_domain(self, domain):
        for one in NAMES:
            for other in NAMES:
                if one[-1] == domain != other[-1]:
                    self.cut.add(frozenset((one, other)))

    @rule()
    def heal(self):
        self.cut.clear()

    @rule(loss=st.sampled_from((0.0, 0.2, 0.5)))
    def lose(self, loss):
        self.net.loss = loss

    @rule(index=st.integers(0, 1 << 20), name=st.sampled_from(NAMES))
    def replay(self, index, name):
        if self.net.sent and name in self.net.node_by_name:
            _, _, packet = self.net.sent[index % len(self.net.sent)]
            self.net.deliver(name, Received(packet))

    @invariant()
    def incarnations_never_decrease(self):
        for observer, node in self.net.node_by_name.items():
            for member in node.members.stored_all():
                view = observer, member.name
                highest = self.highest_by_view.get(view, member.incarnation)
                assert member.incarnation >= highest, view
                self.highest_by_view[view] = member.incarnation

    @invariant()
    def every_node_considers_itself_live(self):
        for node in self.net.node_by_name.values():
            assert node.members.own.state is MemberState.LIVE

    def forget(self, observer):
        self.highest_by_view = {
            view: highest
            for view, highest in self.highest_by_view.items()
            if view[0] != observer
        }

    def teardown(self):
        """After all faults have ended, all nodes agree on which nodes are live."""
        self.cut.clear()
        self.net.loss = 0.0
        for name in list(self.net.paused):
            self.net.resume(name)
        live = sorted(self.net.node_by_name)

        def agreed():
            views = [node.members for node in self.net.node_by_name.values()]
            return all(
                [member.name for member in view.all_live()] == live for view in views
            )

        took_ms = self.net.run_until(agreed, CONVERGENCE_LIMIT_MS, step_ms=1_000)
        seen = {
            name: [member.name for member in node.members.all_live()]
            for name, node in self.net.node_by_name.items()
        }
        assert took_ms is not None, seen


MembershipMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=15,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class MembershipStateTests(MembershipMachine.TestCase, unittest.TestCase):
    """Runs the state machine; the test method is inherited."""
