"""Replicas that must get no new requests, and the requests that reach them late."""

import asyncio
import math

# How long after the store's acknowledgement requests may still reach a replica, as the
# deployment's settings state it.
_DRAIN_S = 2.0
_EVACUATION_S = 5.0
# A fault of a node, a link or the store excuses late requests for this long.
_CONTACT_S = 3.0


class Disturbances:
    """The periods in which a node, a link or the store had a fault.

    >>> disturbances = Disturbances(now_s=lambda: 4.0)
    >>> end = disturbances.begin("store")
    >>> end()
    >>> disturbances.excuse(["store"], 6.9), disturbances.excuse(["store"], 7.1)
    (True, False)
    """

    def __init__(self, now_s=None):
        self._now_s = now_s or _loop_time_s
        self._periods_by_subject = {}

    def begin(self, subject):
        """Record that a fault begins; return the function that records its end."""
        period = [self._now_s(), math.inf]
        self._periods_by_subject.setdefault(subject, []).append(period)

        def end():
            period[1] = self._now_s()

        return end

    def excuse(self, subjects, at_s):
        """Return whether a subject had a fault shortly before a time."""
        return any(
            begin_s <= at_s <= end_s + _CONTACT_S
            for subject in subjects
            for begin_s, end_s in self._periods_by_subject.get(subject, ())
        )


class Withdrawal:
    """Replicas that must get no new requests from some time after ``acknowledged_s``.

    Requests may arrive for ``allowed_s`` more. ``of_replica`` tells which replicas.
    """

    def __init__(self, rule, of_replica, allowed_s):
        self.rule = rule
        self.of_replica = of_replica
        self.allowed_s = allowed_s
        self.acknowledged_s = _loop_time_s()
        self.ended_s = math.inf

    def end(self):
        self.ended_s = _loop_time_s()

    def late_by_s(self, replica, arrived_s):
        """Return the time since the acknowledgement if a request arrived late, or 0."""
        since_s = arrived_s - self.acknowledged_s
        is_late = self.of_replica(replica) and since_s > self.allowed_s
        return since_s if is_late and arrived_s < self.ended_s else 0.0


class Withdrawals:
    """Records withdrawals of one seed and finds the requests that arrived late."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._withdrawals = []

    def record_leaving(self, replica):
        """Record that the store acknowledged that a replica leaves or is gone."""
        return self._record("DRAIN", lambda other: other is replica, _DRAIN_S)

    def record_evacuation(self, zone):
        """Record that the store acknowledged the evacuation of a failure domain."""
        zone_by_name = self._fleet.zone_by_name
        return self._record(
            "EVAC",
            lambda replica: zone_by_name[replica.incarnation] == zone,
            _EVACUATION_S,
        )

    def _record(self, rule, of_replica, allowed_s):
        withdrawal = Withdrawal(rule, of_replica, allowed_s)
        self._withdrawals.append(withdrawal)
        return withdrawal

    def judged(self):
        """Return the withdrawals that were acknowledged while the store was stable."""
        fleet = self._fleet
        return [
            withdrawal
            for withdrawal in self._withdrawals
            if not fleet.disturbances.excuse([fleet.store], withdrawal.acknowledged_s)
        ]

    def violations(self):
        """Describe the late requests that no fault of their path excuses."""
        return [
            f"{withdrawal.rule}: {result.request_id} {result.path} from {result.node} "
            f"reached {replica.incarnation} {late_s * 1_000:.0f} ms after the "
            f"acknowledgement at {withdrawal.acknowledged_s:.3f}"
            for withdrawal in self.judged()
            for replica in self._fleet.replicas
            for sent in replica.executed_requests
            if (late_s := withdrawal.late_by_s(replica, sent.arrived_s))
            and (result := self._fleet.result_by_id[sent.headers["x-request-id"]])
            and not self._is_excused(result, replica, sent.arrived_s)
        ]

    def _is_excused(self, result, replica, arrived_s):
        fleet = self._fleet
        path = [fleet.store, result.node, fleet.link_of(replica)]
        return fleet.disturbances.excuse(path, arrived_s)


def _loop_time_s():
    return asyncio.get_running_loop().time()
