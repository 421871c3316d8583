"""Orders that raise a replica's fencing number and change nothing else."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from fireflyward.upstreams import Broken, EngineOrder, EngineState, OrderResult

from ._fleet import Fleet
from ._messages import SendOrder
from ._plan import Target


@dataclass(slots=True)
class _Sent:
    """The last fencing order to one replica."""

    in_flight: bool = True
    answered_ms: int = -1
    is_taken: bool = False
    may_be_late: bool = False


class FencingOrders:
    """Tracks which replicas have received an order of the current driver.

    A replica refuses the orders of earlier drivers once it has accepted one of the
    current driver. A replica that already is in its target state gets no load order,
    so it would execute an earlier driver's order that arrives late, even after the
    rollout is done. It therefore gets an order that repeats its own state.

    ``is_needed`` is false for the first driver ever, which has no predecessor.

    >>> orders = FencingOrders(fencing=2)
    >>> state = EngineState({"clauses": "v1"}, fencing=1)
    >>> orders.send("engine-0", state).version_by_model
    {'clauses': 'v1'}
    >>> orders.on_answer(10, "engine-0", EngineState({"clauses": "v1"}, fencing=2))
    >>> orders.is_raised("engine-0", state)
    True
    """

    __slots__ = ("_fencing", "_sent_by_replica", "is_needed")

    def __init__(self, *, fencing: int) -> None:
        self.is_needed = False
        self._fencing = fencing
        self._sent_by_replica: dict[str, _Sent] = {}

    def __repr__(self) -> str:
        return f"FencingOrders({self._fencing}, {len(self._sent_by_replica)} sent)"

    @property
    def in_flight(self) -> int:
        """The number of orders whose answers have not arrived."""
        return sum(sent.in_flight for sent in self._sent_by_replica.values())

    def unfenced(self, targets: Mapping[str, Target], fleet: Fleet) -> list[str]:
        """Return the replicas that answer and may execute an earlier driver's order."""
        if not self.is_needed:
            return []
        names = []
        for name, target in targets.items():
            state = fleet.state_of(name)
            if state is None or not target.honours_fencing:
                continue
            if not self.is_raised(name, state):
                names.append(name)
        return names

    def due(
        self,
        targets: Mapping[str, Target],
        fleet: Fleet,
        *,
        reserved: Collection[str],
        at_once: int,
    ) -> list[SendOrder]:
        """Return the orders to send now, with at most ``at_once`` in flight.

        Replicas in ``reserved`` get none. A replica that loads gets none, as the order
        would end the load; neither does one whose state was not read since its last
        order was answered.
        """
        free = at_once - self.in_flight
        sends: list[SendOrder] = []
        for name in self.unfenced(targets, fleet):
            if len(sends) >= free:
                break
            state = fleet.state_of(name)
            if name in reserved or state.loading or self.is_in_flight(name):
                continue
            if fleet.requested_since(name, self._answered_ms(name)):
                sends.append(SendOrder(name, self.send(name, state)))
        return sends

    def is_in_flight(self, replica: str) -> bool:
        """Return whether an order to this replica has no answer yet."""
        sent = self._sent_by_replica.get(replica)
        return sent is not None and sent.in_flight

    def is_raised(self, replica: str, state: EngineState) -> bool:
        """Return whether the replica refuses all orders of earlier drivers."""
        sent = self._sent_by_replica.get(replica)
        return state.fencing >= self._fencing or (sent is not None and sent.is_taken)

    def may_be_late(self, replica: str) -> bool:
        """Return whether the answer to an order was lost, so that it may still arrive.

        It would then replace a later order of the current driver.
        """
        sent = self._sent_by_replica.get(replica)
        return sent is not None and sent.may_be_late

    def send(self, replica: str, state: EngineState) -> EngineOrder:
        """Return the order that repeats ``state``, and record it as sent."""
        self._sent_by_replica[replica] = _Sent(may_be_late=self.may_be_late(replica))
        return EngineOrder(
            self._order_id(replica),
            self._fencing,
            dict(state.version_by_model),
            state.adapters,
            state.role,
        )

    def is_own(self, replica: str, order_id: str) -> bool:
        """Return whether an order to a replica is one of these orders."""
        return replica in self._sent_by_replica and order_id == self._order_id(replica)

    def on_answer(self, now_ms: int, replica: str, result: OrderResult) -> None:
        """Record the answer to the last order to a replica."""
        sent = self._sent_by_replica[replica]
        sent.in_flight = False
        sent.answered_ms = now_ms
        sent.is_taken = isinstance(result, EngineState)
        sent.may_be_late |= isinstance(result, Broken) and result.may_have_run

    def _answered_ms(self, replica: str) -> int:
        """Return when the last order to a replica was answered, or -1 if none was."""
        sent = self._sent_by_replica.get(replica)
        return sent.answered_ms if sent else -1

    def _order_id(self, replica: str) -> str:
        return f"fencing.{self._fencing}.{replica}"
