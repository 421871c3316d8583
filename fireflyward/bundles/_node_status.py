"""The bundle number in force at each node and since when, as observed by one node."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec


class Condition(enum.StrEnum):
    """The condition of a node with regard to the highest known number."""

    IN_FORCE = "in force"
    BEHIND = "behind"
    REFUSING = "refusing"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class NodeObservation:
    """One observation of a node; ``is_reached`` is false if it did not answer."""

    name: str
    failure_domain: str
    number: int
    is_reached: bool
    is_leaving: bool = False
    refused: str = ""


class NodeStatus(msgspec.Struct, frozen=True):
    """One node's line in the status; its condition began at ``since_wall_ms``."""

    name: str
    failure_domain: str
    number: int
    condition: Condition
    since_wall_ms: int
    refused: str = ""


class NodeStatusTracker:
    """Records when each node's condition began.

    The observations come from heartbeats and from answers to requests; a node that
    was never observed is not listed. The times are those of this node's wall clock,
    for people to read.
    """

    __slots__ = ("_status_by_name",)

    def __init__(self) -> None:
        self._status_by_name: dict[str, NodeStatus] = {}

    def __repr__(self) -> str:
        return f"NodeStatusTracker({len(self._status_by_name)} nodes)"

    def observe(
        self, wall_ms: int, number: int, observations: Iterable[NodeObservation]
    ) -> None:
        """Compare each node with ``number``, the highest known."""
        for node in observations:
            before = self._status_by_name.get(node.name)
            condition = _condition(number, node)
            is_same = before is not None and _is_unchanged(
                before, condition, node.number
            )
            self._status_by_name[node.name] = NodeStatus(
                node.name,
                node.failure_domain or (before.failure_domain if before else ""),
                max(node.number, before.number if before else 0),
                condition,
                before.since_wall_ms if is_same else wall_ms,
                node.refused,
            )

    def forget(self, names: Iterable[str]) -> None:
        """Remove nodes that no longer belong to the deployment."""
        for name in names:
            self._status_by_name.pop(name, None)

    def statuses(self) -> tuple[NodeStatus, ...]:
        """Return every node's line, ordered by name."""
        return tuple(status for _, status in sorted(self._status_by_name.items()))


def is_in_force_everywhere(statuses: Iterable[NodeStatus]) -> bool:
    """Return whether the number is in force at every node that can be reached.

    Nodes that cannot be reached do not count. Such a node may be cut off from the
    others; its own number then stays in force there until it receives the newer one.
    """
    not_yet_in_force = (Condition.BEHIND, Condition.REFUSING)
    return all(status.condition not in not_yet_in_force for status in statuses)


def _is_unchanged(before: NodeStatus, condition: Condition, number: int) -> bool:
    """Return whether the condition continues; a new number in force is a change."""
    if before.condition is not condition:
        return False
    return condition is not Condition.IN_FORCE or before.number == number


def _condition(number: int, node: NodeObservation) -> Condition:
    if not node.is_reached:
        return Condition.UNREACHABLE
    if node.is_leaving:
        return Condition.LEAVING
    if node.refused:
        return Condition.REFUSING
    return Condition.IN_FORCE if node.number >= number else Condition.BEHIND
