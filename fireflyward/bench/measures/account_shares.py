"""Whether a flooding account is held to its limit over all nodes of a domain."""

from fireflyward.bench._bench import Bench, Figure
from fireflyward.bench._shares_mesh import SharesMesh

_LIMIT = 200
_ACCOUNTS = tuple(f"flood-{index}" for index in range(5))
_SETTLING_ROUNDS = 4
_ROUNDS = 10
_SECONDS_IN_ROUND = 2


def _figures() -> list[Figure]:
    return [figure for nodes in (3, 9, 35) for figure in _rows(nodes)]


def _rows(nodes: int) -> list[Figure]:
    """Flood by five accounts at every node, all runs taking a round."""
    mesh = SharesMesh(nodes, limit=_LIMIT)
    most = 0
    for number in range(_SETTLING_ROUNDS + _ROUNDS):
        if number == _SETTLING_ROUNDS:
            mesh.sent_bytes = dict.fromkeys(mesh.names, 0)
        mesh.in_flight.clear()
        for name in mesh.names:
            for account in _ACCOUNTS:
                while mesh.try_admit(name, account):
                    pass
        most = max(most, *(mesh.total_in_flight(account) for account in _ACCOUNTS))
        mesh.pass_time()
    series = f"account_shares.nodes_{nodes}"
    sent = mesh.sent_bytes.values()
    seconds = _ROUNDS * _SECONDS_IN_ROUND
    return [
        Figure(f"{series}.most_in_flight", most / _LIMIT, "of limit"),
        Figure(f"{series}.sent", sum(sent) / nodes / seconds, "B/s"),
        Figure(f"{series}.most_sent", max(sent) / seconds, "B/s"),
    ]


BENCH = Bench("account_shares", _figures, is_count=True)
