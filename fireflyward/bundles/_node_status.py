"""Since when each node serves by which number, as one node sees it."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec


class Condition(enum.StrEnum):
    """How a node stands to the number in force."""

    IN_FORCE = "in force"
    BEHIND = "behind"
    REFUSING = "refusing"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class NodeObservation:
    """What was just learned of a node; ``is_reached`` is false without an answer."""

    name: str
    failure_domain: str
    number: int
    is_reached: bool
    is_leaving: bool = False
    refused: str = ""


class NodeStatus(msgspec.Struct, frozen=True):
    """One node's line in the status; ``since_wall_ms`` is when that began."""

    name: str
    failure_domain: str
    number: int
    condition: Condition
    since_wall_ms: int
    refused: str = ""


class NodeStatusTracker:
    """Remembers when each node's condition began.

    It is fed with what heartbeats and answers tell; a node that was never heard
    of is not in it. The times are this node's own, for people to read.
    """

    __slots__ = ("_status_by_name",)

    def __init__(self) -> None:
        self._status_by_name: dict[str, NodeStatus] = {}

    def __repr__(self) -> str:
        return f"NodeStatusTracker({len(self._status_by_name)} nodes)"

    def observe(
        self, wall_ms: int, number: int, seen: Iterable[NodeObservation]
    ) -> None:
        """Judge what was seen against ``number``, the highest known."""
        for node in seen:
            before = self._status_by_name.get(node.name)
            condition = _condition(number, node)
            is_same = before is not None and _goes_on(before, condition, node.number)
            self._status_by_name[node.name] = NodeStatus(
                node.name,
                node.failure_domain or (before.failure_domain if before else ""),
                max(node.number, before.number if before else 0),
                condition,
                before.since_wall_ms if is_same else wall_ms,
                node.refused,
            )

    def forget(self, names: Iterable[str]) -> None:
        """Drop nodes that are gone for good."""
        for name in names:
            self._status_by_name.pop(name, None)

    def statuses(self) -> tuple[NodeStatus, ...]:
        """Return every node's line, ordered by name."""
        return tuple(status for _, status in sorted(self._status_by_name.items()))


def is_in_force_everywhere(statuses: Iterable[NodeStatus]) -> bool:
    """Tell whether every node that can be reached serves by the number.

    A node that cannot be reached is not waited for: it may be cut off, and then
    it serves by what it has until it hears of the newer number.
    """
    waited_for = (Condition.BEHIND, Condition.REFUSING)
    return all(status.condition not in waited_for for status in statuses)


def _goes_on(before: NodeStatus, condition: Condition, number: int) -> bool:
    """Tell whether what was seen before lasts: each number in force is new."""
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
