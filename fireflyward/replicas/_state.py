"""What one node knows about one incarnation of a replica."""

from collections.abc import Callable

from fireflyward.deployment import ReplicaEntry

from ._backpressure import Backpressure
from ._recent_times import RecentTimes
from ._shared_prefix import SharedPrefix
from ._speed import ReplicaSpeed

# A replica reports in a response header how many requests it has. After this time half
# of the other nodes' requests are assumed to have finished.
_LOAD_HALF_LIFE_MS = 1_000
_FIRST_SUSPICION_MS = 400
_MAX_SUSPICION_MS = 6_000
# A full replica has a free slot again after about the time of one short request.
_FULL_MS = 60
# A replica that rejects a request during a rollout of weights probably loads them. The
# node that ordered the load announces it to the others, but that message may be lost.
_LOADING_MS = 400
# Weight of one answer in the moving average of failed answers.
_FAILURE_WEIGHT = 0.12
# Time to the first event besides prefill: one or two decoding steps of the batch, the
# tokens that one event contains, and the network. If it were left out, an idle replica
# would seem slow and its queue long.
FIRST_EVENT_MS = 55.0
# Weight of one answer in the moving average of the measured time to the first token,
# relative to the estimate. Estimates below the minimum are not used: such short times
# say little about the replica's speed.
_SLOWDOWN_WEIGHT = 0.15
_MIN_EXPECTED_MS = 40.0
_INITIAL_RUN_MS = 100.0
# A time counts as measured only if this process was not stopped for so long in it.
_MAX_LOST_MS = 500
# Only longer times than usual are checked for that.
_CHECKED_MULTIPLE = 2.0
_LAST_REPORT_MS = 500
_MIN_SLOWDOWN = 0.5
_MAX_SLOWDOWN = 4.0


class ReplicaState:
    """Counters and estimates for one incarnation of a replica.

    ``slowdown`` is the measured prefill time relative to the estimate, and
    ``mean_run_ms`` how long a request occupies a slot; both are moving averages. Times
    in which this process stood still do not count: it read the answers late, and would
    take every replica with a request for several times as slow.
    """

    __slots__ = (
        "_cold_request_ms",
        "_cold_until_ms",
        "_full_until_ms",
        "_loading_until_ms",
        "_lost_within_ms",
        "_other_requests",
        "_other_requests_at_ms",
        "_reported_by_model",
        "_suspect_until_ms",
        "_consecutive_failures",
        "backpressure",
        "entry",
        "failed_share",
        "has_connected",
        "expires_at_ms",
        "in_flight",
        "resident_tokens",
        "incarnation_id",
        "slowdown",
        "rejected",
        "rejections",
        "shared_slot_ms",
        "shared_runs",
        "mean_run_ms",
        "speed",
        "unprefilled_tokens",
        "waiting_late",
        "version_by_model",
    )

    def __init__(
        self,
        entry: ReplicaEntry,
        backpressure: Backpressure | None = None,
        *,
        lost_within_ms: Callable[[float], int] = lambda duration_ms: 0,
    ) -> None:
        """``lost_within_ms`` returns how long no code ran in a time that ends now."""
        self._lost_within_ms = lost_within_ms
        self.backpressure = backpressure or Backpressure()
        self.entry = entry
        self.incarnation_id = entry.incarnation_id
        # Late requests that wait at the replica behind all other requests are not
        # counted as in flight.
        self.in_flight = 0
        self.waiting_late = 0
        self.unprefilled_tokens = 0
        self.resident_tokens = 0
        # How many of this node's runs there have each shared prefix.
        self.shared_runs: dict[SharedPrefix, int] = {}
        self.slowdown = 1.0
        self.speed = ReplicaSpeed()
        self.mean_run_ms = _INITIAL_RUN_MS
        self.failed_share = 0.0
        # Whether this node ever connected to it.
        self.has_connected = False
        self.expires_at_ms: int | None = None
        self.version_by_model = _versions(entry)
        self.rejections = 0
        # Rejections for want of room that this node knows of, and its last use of a
        # slot beyond its part; see ``BrittleLimits``.
        self.rejected = RecentTimes()
        self.shared_slot_ms: int | None = None
        self._reported_by_model: dict[str, int] = {}
        self._other_requests = 0.0
        self._other_requests_at_ms = 0
        self._suspect_until_ms = 0
        self._full_until_ms = 0
        self._loading_until_ms = 0
        self._cold_until_ms = 0
        self._cold_request_ms: list[int] = []
        self._consecutive_failures = 0

    def __repr__(self) -> str:
        return f"ReplicaState({self.entry.incarnation!r}, in_flight={self.in_flight})"

    def update_entry(self, entry: ReplicaEntry) -> None:
        """Replace the entry by a newer one of the same incarnation, listed again."""
        listed = _versions(entry)
        if listed != _versions(self.entry):
            self.version_by_model = listed
            self._loading_until_ms = 0
        self.entry = entry
        self.expires_at_ms = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the replica is leaving, by its entry or by its own answers."""
        return self.entry.is_leaving or self.backpressure.is_leaving

    def on_cold(self, now_ms: int, for_ms: int) -> None:
        """Assume for this time that the replica is cold; never shortens the time."""
        self._cold_until_ms = max(self._cold_until_ms, now_ms + for_ms)

    def is_cold(self, now_ms: int) -> bool:
        """Return whether it may be cold: it sustains few requests and may crash."""
        return now_ms < self._cold_until_ms

    def on_cold_request(self, latest_ms: int) -> None:
        """Count a request to the cold replica, sent at ``latest_ms`` or earlier."""
        self._cold_request_ms.append(latest_ms)

    def on_cold_sent(self, now_ms: int) -> None:
        """Record that a request which was counted in advance is sent now.

        It counts again if the time for which it was counted has passed, as when this
        process did not run.
        """
        if self._cold_request_ms and self._cold_request_ms[-1] > now_ms:
            self._cold_request_ms[-1] = now_ms
            self._cold_request_ms.sort()
        elif self.is_cold(now_ms):
            self._cold_request_ms.append(now_ms)

    def cold_sends_since(self, since_ms: int) -> int:
        """Return how many requests may have been sent after ``since_ms``."""
        self._cold_request_ms = [
            sent for sent in self._cold_request_ms if sent > since_ms
        ]
        return len(self._cold_request_ms)

    def other_requests(self, now_ms: int) -> float:
        """Return the estimated requests of other nodes that run or wait there."""
        age_ms = max(0, now_ms - self._other_requests_at_ms)
        return self._other_requests * 0.5 ** (age_ms / _LOAD_HALF_LIFE_MS)

    def last_other_requests(self, now_ms: int) -> float:
        """Return the other nodes' requests by the last report, without a decay.

        A report that is older than ``_LAST_REPORT_MS`` counts less, as in
        ``other_requests``.
        """
        if now_ms - self._other_requests_at_ms <= _LAST_REPORT_MS:
            return self._other_requests
        return self.other_requests(now_ms)

    def on_load(self, now_ms: int, total: int) -> None:
        """Record how many running and waiting requests the replica reports."""
        self._other_requests = max(0.0, total - self.in_flight - self.waiting_late)
        self._other_requests_at_ms = now_ms

    def on_answer(self, *, failed: bool) -> None:
        """Count an answer that the replica itself gave, whether failed or not."""
        self._consecutive_failures = 0
        self._suspect_until_ms = 0
        self.failed_share += _FAILURE_WEIGHT * (failed - self.failed_share)

    def on_first_token(self, *, expected_ms: float, took_ms: float) -> None:
        """Update the slowdown from the measured time to the first token."""
        expected_ms -= FIRST_EVENT_MS
        if expected_ms < _MIN_EXPECTED_MS:
            return
        took_ms = max(1.0, took_ms - FIRST_EVENT_MS)
        if self._is_of_standstill(took_ms, usual_ms=expected_ms):
            return
        ratio = min(max(took_ms / expected_ms, 1 / _MAX_SLOWDOWN), _MAX_SLOWDOWN)
        self.slowdown += _SLOWDOWN_WEIGHT * (self.slowdown * ratio - self.slowdown)
        self.slowdown = min(max(self.slowdown, _MIN_SLOWDOWN), _MAX_SLOWDOWN)

    def on_run_resident(self, tokens: int, prefix: SharedPrefix | None) -> None:
        """Count the tokens that a run occupies there in KV memory, from now on."""
        self.resident_tokens += tokens
        if prefix is not None:
            self.shared_runs[prefix] = self.shared_runs.get(prefix, 0) + 1

    def on_run_gone(self, tokens: int, prefix: SharedPrefix | None) -> None:
        """Stop counting the tokens of a run; see ``on_run_resident``."""
        self.resident_tokens -= tokens
        if prefix is not None:
            self.shared_runs[prefix] -= 1
            if not self.shared_runs[prefix]:
                del self.shared_runs[prefix]

    def on_run_finished(self, took_ms: float) -> None:
        """Update the mean time that a request occupies a slot."""
        if self._is_of_standstill(took_ms, usual_ms=self.mean_run_ms):
            return
        self.mean_run_ms += _SLOWDOWN_WEIGHT * (took_ms - self.mean_run_ms)

    def _is_of_standstill(self, took_ms: float, *, usual_ms: float) -> bool:
        """Return whether a time that ends now includes a standstill of this process."""
        if took_ms < max(_MAX_LOST_MS, _CHECKED_MULTIPLE * usual_ms):
            return False
        return self._lost_within_ms(took_ms) >= _MAX_LOST_MS

    def on_send_failure(self, now_ms: int) -> None:
        """Suspect a replica that broke a connection or could not be reached."""
        length_ms = _FIRST_SUSPICION_MS << min(self._consecutive_failures, 5)
        self._consecutive_failures += 1
        self._suspect_until_ms = now_ms + min(length_ms, _MAX_SUSPICION_MS)

    def on_full(self, now_ms: int) -> None:
        """Avoid a replica for a short time after it rejected a request as full."""
        self._full_until_ms = now_ms + _FULL_MS

    def on_loading(self, now_ms: int, for_ms: int = _LOADING_MS) -> None:
        """Avoid a replica for this time while it loads weights."""
        until_ms = now_ms + for_ms
        self._loading_until_ms = max(self._loading_until_ms, until_ms)

    def on_loaded(self, model: str, version: int) -> None:
        """Record loaded weights that the replica reported before the list has them.

        A report of older weights than the list has was delayed on its way.
        """
        if version < (self.entry.version_of(model) or 0):
            return
        self._reported_by_model[model] = version
        self.version_by_model = {**self.version_by_model, model: version}
        self._loading_until_ms = 0

    def possible_weights(self) -> set[tuple[str, int]]:
        """Return every (model, version) that runs on the replica may still use.

        The list is one heartbeat behind the replica's own report. The versions that
        this node sends by, ``version_by_model``, may be estimated from a rejection.
        With these alone, KV cache would be freed that other nodes still fetch for the
        replica.
        """
        may_have = set(self.version_by_model.items())
        for model, listed in _versions(self.entry).items():
            may_have.add((model, max(listed, self._reported_by_model.get(model, 0))))
        return may_have

    @property
    def is_brittle(self) -> bool:
        """Return whether the replica crashes if it rejects too many requests."""
        return self.backpressure.brittle.per_second is not None

    def is_loading(self, now_ms: int) -> bool:
        """Return whether the replica probably loads weights."""
        return now_ms < self._loading_until_ms

    def is_suspect(self, now_ms: int) -> bool:
        """Return whether the last sends to the replica failed."""
        return now_ms < self._suspect_until_ms

    def is_full(self, now_ms: int) -> bool:
        """Return whether the replica recently rejected a request as full."""
        return now_ms < self._full_until_ms


def _versions(entry: ReplicaEntry) -> dict[str, int]:
    return {item.model: item.version for item in entry.weights}
