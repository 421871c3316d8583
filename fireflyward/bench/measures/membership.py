"""Measures the traffic of membership, its detection times and false alarms."""

import statistics
from collections.abc import Callable

from fireflyward.bench import Bench, Figure
from fireflyward.bench._membership_net import MembershipNet
from fireflyward.membership import (
    AlarmKind,
    BundleChanged,
    LeaveStarted,
    Membership,
    MemberState,
    Packet,
)
from fireflyward.peers import PeerCodec

from .membership_cpu import encode

_SIZES = {9: (3, 3), 35: (1, 35), 100: (4, 25), 350: (10, 35)}
_UDP_HEADER_BYTES = 28
_MEASURED_MS = 5_000
_LIMIT_MS = 60_000
_LOSS = 0.2
_LOSS_MS = 60_000
_PAUSE_MS = 3_000
_KEY = b"k" * 16


def _measure() -> list[Figure]:
    figures: list[Figure] = []
    for nodes, (domains, per_domain) in _SIZES.items():
        figures += _cost_figures(nodes, domains, per_domain)
    figures += _false_suspicion_figures()
    figures += _rejoin_figures()
    return figures


def _cost_figures(nodes: int, domains: int, per_domain: int) -> list[Figure]:
    net = MembershipNet(seed=nodes)
    net.start_many(domains, per_domain)
    net.run_ms(2_000)
    net.sent.clear()
    net.run_ms(_MEASURED_MS)
    per_second = 1_000 / _MEASURED_MS / nodes
    bytes_per_s = sum(_datagram_bytes(packet) for _, _, packet in net.sent) * per_second
    packets_per_s = len(net.sent) * per_second
    name = f"membership.nodes_{nodes}"
    figures = [
        Figure(f"{name}.bytes_per_node_s", bytes_per_s, "B/s"),
        Figure(f"{name}.datagrams_per_node_s", packets_per_s, "1/s"),
    ]
    net.deliver("entry-0-0", BundleChanged(7))
    bundle_ms = _time_until_ms(
        net, "entry-0-0", lambda member: member.bundle_number == 7
    )
    net.deliver("entry-0-0", LeaveStarted())
    leaving_ms = _time_until_ms(net, "entry-0-0", _has_state(MemberState.LEAVING))
    killed_ms = net.now_ms
    net.kill("entry-1-0")
    death_ms = _time_until_ms(net, "entry-1-0", _has_state(MemberState.DEAD))
    first_ms = min(at for at, _, alarm in net.alarms if alarm.name == "entry-1-0")
    figures += [
        Figure(f"{name}.bundle_number_known_ms", bundle_ms, "ms"),
        Figure(f"{name}.leaving_known_ms", leaving_ms, "ms"),
        Figure(f"{name}.death_suspected_ms", first_ms - killed_ms, "ms"),
        Figure(f"{name}.death_known_ms", death_ms, "ms"),
    ]
    return figures


def _has_state(state: MemberState) -> Callable[..., bool]:
    return lambda member: member.state is state


def _time_until_ms(
    net: MembershipNet, name: str, condition: Callable[..., bool]
) -> float:
    """Return the time until a member meets the condition in every node's list."""
    nodes = list(net.node_by_name.values())

    def is_met_everywhere() -> bool:
        return all(_is_met_at_node(node, name, condition) for node in nodes)

    duration_ms = net.run_until(is_met_everywhere, _LIMIT_MS)
    return float("inf") if duration_ms is None else duration_ms


def _is_met_at_node(
    node: Membership, name: str, condition: Callable[..., bool]
) -> bool:
    member = node.members.stored(name)
    return member is not None and condition(member)


def _false_suspicion_figures() -> list[Figure]:
    """Count false alarms among 35 nodes after packet loss and a paused process."""
    lossy = MembershipNet(seed=2, loss=_LOSS)
    lossy.start_many(1, 35)
    lossy.run_ms(_LOSS_MS)
    paused = MembershipNet(seed=3)
    paused.start_many(1, 35)
    paused.paused.add("entry-0-0")
    paused.run_ms(_PAUSE_MS)
    paused.resume("entry-0-0")
    paused.run_ms(_LIMIT_MS // 4)
    return [
        Figure(
            "membership.loss_20.suspicions_per_node_min",
            _alarm_count(lossy, AlarmKind.NODE_SUSPECTED) / 35 / (_LOSS_MS / 60_000),
            "1/min",
        ),
        Figure(
            "membership.loss_20.false_deaths",
            _alarm_count(lossy, AlarmKind.NODE_DEAD),
            "",
        ),
        Figure(
            "membership.pause_3s.false_deaths",
            _alarm_count(paused, AlarmKind.NODE_DEAD),
            "",
        ),
    ]


def _rejoin_figures() -> list[Figure]:
    """Partition a failure domain for a minute and measure the cost of its return."""
    net = MembershipNet(seed=4)
    net.start_many(4, 9)
    net.is_blocked = lambda one, other: one.endswith("-0") != other.endswith("-0")
    net.run_ms(60_000)
    live_counts = [
        len(node.members.all_live())
        for name, node in net.node_by_name.items()
        if name.endswith("-0")
    ]
    net.sent.clear()
    net.run_ms(_MEASURED_MS)
    before = len(net.sent)
    net.sent.clear()
    net.is_blocked = lambda one, other: False
    nodes = list(net.node_by_name.values())
    duration_ms = net.run_until(
        lambda: all(len(node.members.all_live()) == 36 for node in nodes), _LIMIT_MS
    )
    net.run_ms(_MEASURED_MS - (duration_ms or 0))
    return [
        Figure("membership.cut_off.live_inside", statistics.mean(live_counts), ""),
        Figure(
            "membership.cut_off.false_deaths",
            _alarm_count(net, AlarmKind.NODE_DEAD),
            "",
        ),
        Figure(
            "membership.rejoin.whole_ms",
            float("inf") if duration_ms is None else duration_ms,
            "ms",
        ),
        Figure("membership.rejoin.datagrams_to_before", len(net.sent) / before, "×"),
    ]


def _alarm_count(net: MembershipNet, kind: AlarmKind) -> float:
    return sum(alarm.kind is kind for _, _, alarm in net.alarms)


def _datagram_bytes(packet: Packet) -> int:
    return len(encode(PeerCodec((_KEY,)), packet)) + _UDP_HEADER_BYTES


BENCH = Bench("membership", _measure, is_count=True)
