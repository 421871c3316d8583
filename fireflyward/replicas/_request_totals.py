"""How many requests of all nodes there are at a replica."""

from ._in_flight_load import PeerLoad
from ._state import ReplicaState


def requests_at(now_ms: int, state: ReplicaState, peers: PeerLoad) -> float:
    """Return the estimated requests of all nodes that run or wait at a replica.

    The other nodes report their requests, and a replica reports the total in its
    responses. Either may be out of date, so the larger number counts.
    """
    reported = peers.at(now_ms, state.incarnation_id).requests
    return state.in_flight + max(reported, state.other_requests(now_ms))


def last_requests_at(now_ms: int, state: ReplicaState, peers: PeerLoad) -> float:
    """Return the requests of all nodes by the last reports, without an estimate."""
    reported = peers.at(now_ms, state.incarnation_id).requests
    return state.in_flight + max(reported, state.last_other_requests(now_ms))
