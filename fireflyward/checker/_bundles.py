"""Checks the bundle numbers that callers received against the accepted ones."""

from functools import singledispatchmethod

from ._observations import (
    BundleAccepted,
    BundleServed,
    Observation,
    ReachabilityChanged,
)
from ._promises import Promise, Violation


class BundleChecker:
    """Records when each bundle was accepted and the numbers that each node served.

    For a node that could not reach the platform, the time limit starts when it can
    reach the platform again. A node without a bundle rejects requests with number 0,
    which is not checked.
    """

    __slots__ = (
        "_accepted_ms_by_number",
        "_nodes_without_platform",
        "_digest_by_number",
        "_in_force_limit_ms",
        "_reachable_since_ms",
        "_served_by_node",
        "_observes_platform",
        "violations",
    )

    def __init__(
        self, in_force_limit_ms: int, *, observes_platform: bool = True
    ) -> None:
        self.violations: list[Violation] = []
        self._in_force_limit_ms = in_force_limit_ms
        self._observes_platform = observes_platform
        self._accepted_ms_by_number: dict[int, int] = {}
        self._digest_by_number: dict[int, str] = {}
        self._served_by_node: dict[str, list[tuple[int, int]]] = {}
        self._nodes_without_platform: set[str] = set()
        self._reachable_since_ms: dict[str, int] = {}

    @singledispatchmethod
    def observe(self, observation: Observation) -> None:
        """Record or check one observation of the table service or of a caller."""
        raise TypeError(f"no check handles {observation!r}")

    @observe.register
    def _(self, observation: BundleAccepted) -> None:
        number = observation.number
        highest = max(self._accepted_ms_by_number, default=number - 1)
        first_digest = self._digest_by_number.setdefault(number, observation.digest)
        if first_digest != observation.digest:
            self._add(
                observation.at_ms, f"two different bundles {number} were accepted"
            )
        elif number < highest:
            self._add(
                observation.at_ms, f"bundle {number} was accepted after {highest}"
            )
        self._accepted_ms_by_number.setdefault(number, observation.at_ms)

    @observe.register
    def _(self, observation: ReachabilityChanged) -> None:
        if not observation.is_reachable:
            self._nodes_without_platform.add(observation.node)
        elif observation.node in self._nodes_without_platform:
            self._nodes_without_platform.discard(observation.node)
            self._reachable_since_ms[observation.node] = observation.at_ms

    @observe.register
    def _(self, observation: BundleServed) -> None:
        node, number = observation.node, observation.number
        if not number:
            return
        started_ms = observation.started_ms if observation.started_ms >= 0 else None
        highest = self._highest_at(node, started_ms)
        if number < highest:
            self._add(observation.at_ms, f"{node} went back from {highest} to {number}")
        served = self._served_by_node.setdefault(node, [])
        if not served or number > served[-1][1]:
            served.append((observation.at_ms, number))
        if self._observes_platform and number not in self._accepted_ms_by_number:
            self._add(
                observation.at_ms, f"{node} serves {number}, which was never accepted"
            )
        if node not in self._nodes_without_platform:
            self._check_in_force(observation)

    def _highest_at(self, node: str, before_ms: int | None) -> int:
        """Return the highest bundle number that a node served before a time."""
        for at_ms, number in reversed(self._served_by_node.get(node, ())):
            if before_ms is None or at_ms < before_ms:
                return number
        return 0

    def _check_in_force(self, observation: BundleServed) -> None:
        reachable_ms = self._reachable_since_ms.get(observation.node, 0)
        served_ms = (
            observation.started_ms if observation.started_ms >= 0 else observation.at_ms
        )
        for number, accepted_ms in self._accepted_ms_by_number.items():
            due_ms = max(accepted_ms, reachable_ms) + self._in_force_limit_ms
            if number > observation.number and served_ms > due_ms:
                detail = f"{observation.node} still serves {observation.number}"
                self._add(observation.at_ms, f"{detail}, {number} was due at {due_ms}")
                return

    def _add(self, at_ms: int, detail: str) -> None:
        self.violations.append(Violation(Promise.BUNDLE_IN_FORCE, at_ms, detail))
