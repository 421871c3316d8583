"""Measures whether all nodes of a domain together keep an account to its limit."""

from fireflyward.bench._bench import Bench, Figure
from fireflyward.bench._shares_mesh import SharesMesh

_LIMIT = 200
_ACCOUNTS = tuple(f"flood-{index}" for index in range(5))
_SETTLING_ROUNDS = 4
_ROUNDS = 10
_ROUND_S = 2


def _figures() -> list[Figure]:
    return [figure for nodes in (3, 9, 35) for figure in _rows(nodes)]


def _rows(nodes: int) -> list[Figure]:
    """Let five accounts flood every node; each request lasts one round."""
    mesh = SharesMesh(nodes, limit=_LIMIT)
    max_in_flight = 0
    for number in range(_SETTLING_ROUNDS + _ROUNDS):
        if number == _SETTLING_ROUNDS:
            mesh.sent_bytes = dict.fromkeys(mesh.names, 0)
        mesh.in_flight.clear()
        for name in mesh.names:
            for account in _ACCOUNTS:
                while mesh.try_admit(name, account):
                    pass
        max_in_flight = max(
            max_in_flight, *(mesh.total_in_flight(account) for account in _ACCOUNTS)
        )
        mesh.pass_time()
    series = f"account_shares.nodes_{nodes}"
    sent = mesh.sent_bytes.values()
    seconds = _ROUNDS * _ROUND_S
    return [
        Figure(f"{series}.most_in_flight", max_in_flight / _LIMIT, "of limit"),
        Figure(f"{series}.sent", sum(sent) / nodes / seconds, "B/s"),
        Figure(f"{series}.most_sent", max(sent) / seconds, "B/s"),
    ]


BENCH = Bench("account_shares", _figures, is_count=True)
