"""What one node knows of one start of a replica."""

from fireflyward.deployment import ReplicaEntry

from ._backpressure import Backpressure

# What others have running there is known from a response header; after this long
# half of it is taken to be over.
_LOAD_HALF_LIFE_MS = 1_000
_FIRST_SUSPICION_MS = 400
_LONGEST_SUSPICION_MS = 6_000
# A replica that is full frees a place in about the time of one short request.
_FULL_MS = 60
# A refusal while new weights are in the air: the replica probably loads them, and
# whoever ordered it tells the other nodes, but that news may be lost.
_LOADING_MS = 400
# Weight of one answer in the running share of failed ones.
_FAILURE_WEIGHT = 0.12
# What a first event takes beside reading prompts: a step or two of the batch, the
# tokens that one event holds, and the way. Without it a replica that has nothing to
# do would look slow, and its queue long.
FIRST_EVENT_MS = 55.0
# The rest of the time to the first token against what was expected of it, as a
# running mean; short waits say little.
_PACE_WEIGHT = 0.15
_LEAST_EXPECTED_MS = 40.0
_FIRST_RUN_MS = 100.0
_LEAST_PACE = 0.5
_MOST_PACE = 4.0


class ReplicaState:
    """Counts and beliefs; changed only by the chooser and the directory."""

    __slots__ = (
        "_cold_send_ms",
        "_cold_until_ms",
        "_full_until_ms",
        "_loading_until_ms",
        "_others",
        "_others_at_ms",
        "_reported_by_model",
        "_suspect_until_ms",
        "_troubles",
        "backpressure",
        "entry",
        "failed_share",
        "gone_at_ms",
        "in_flight",
        "resident_tokens",
        "incarnation_id",
        "pace",
        "rejections",
        "run_ms",
        "unprefilled_tokens",
        "waiting_late",
        "version_by_model",
    )

    def __init__(
        self, entry: ReplicaEntry, backpressure: Backpressure | None = None
    ) -> None:
        self.backpressure = backpressure or Backpressure()
        self.entry = entry
        self.incarnation_id = entry.number
        # Late requests that wait for a slot behind all others are not in flight yet:
        # whoever is not late goes first.
        self.in_flight = 0
        self.waiting_late = 0
        self.unprefilled_tokens = 0
        self.resident_tokens = 0
        self.pace = 1.0
        self.run_ms = _FIRST_RUN_MS
        self.failed_share = 0.0
        self.gone_at_ms: int | None = None
        self.version_by_model = _versions(entry)
        self.rejections = 0
        self._reported_by_model: dict[str, int] = {}
        self._others = 0.0
        self._others_at_ms = 0
        self._suspect_until_ms = 0
        self._full_until_ms = 0
        self._loading_until_ms = 0
        self._cold_until_ms = 0
        self._cold_send_ms: list[int] = []
        self._troubles = 0

    def __repr__(self) -> str:
        return f"ReplicaState({self.entry.incarnation!r}, in_flight={self.in_flight})"

    def update_entry(self, entry: ReplicaEntry) -> None:
        """Take a newer entry of the same start; it is listed again."""
        listed = _versions(entry)
        if listed != _versions(self.entry):
            self.version_by_model = listed
            self._loading_until_ms = 0
        self.entry = entry
        self.gone_at_ms = None

    @property
    def is_leaving(self) -> bool:
        """Tell whether it leaves, by its entry or by its own answers."""
        return self.entry.is_leaving or self.backpressure.is_leaving

    def on_cold(self, now_ms: int, for_ms: int) -> None:
        """Take the replica for cold for a while, and never for less than before."""
        self._cold_until_ms = max(self._cold_until_ms, now_ms + for_ms)

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether it may be cold: it bears few requests and may crash."""
        return now_ms < self._cold_until_ms

    def on_cold_send(self, latest_ms: int) -> None:
        """Count a request to it while cold, which leaves at ``latest_ms`` at most."""
        self._cold_send_ms.append(latest_ms)

    def on_cold_sent(self, now_ms: int) -> None:
        """Note that a request which was counted ahead leaves now."""
        if self._cold_send_ms and self._cold_send_ms[-1] > now_ms:
            self._cold_send_ms[-1] = now_ms
            self._cold_send_ms.sort()

    def cold_sends_since(self, since_ms: int) -> int:
        """Return how many requests may have left later than that."""
        self._cold_send_ms = [sent for sent in self._cold_send_ms if sent > since_ms]
        return len(self._cold_send_ms)

    def others_at(self, now_ms: int) -> float:
        """Return how many requests of other nodes probably run or wait there."""
        age_ms = max(0, now_ms - self._others_at_ms)
        return self._others * 0.5 ** (age_ms / _LOAD_HALF_LIFE_MS)

    def on_load(self, now_ms: int, total: int) -> None:
        """Take the requests that run and wait there, by the replica's own word."""
        self._others = max(0.0, total - self.in_flight - self.waiting_late)
        self._others_at_ms = now_ms

    def on_answer(self, *, failed: bool) -> None:
        """Count an answer that the replica made itself."""
        self._troubles = 0
        self._suspect_until_ms = 0
        self.failed_share += _FAILURE_WEIGHT * (failed - self.failed_share)

    def on_first_token(self, *, expected_ms: float, took_ms: float) -> None:
        """Learn how much slower or faster it is than was expected."""
        expected_ms -= FIRST_EVENT_MS
        if expected_ms < _LEAST_EXPECTED_MS:
            return
        took_ms = max(1.0, took_ms - FIRST_EVENT_MS)
        ratio = min(max(took_ms / expected_ms, 1 / _MOST_PACE), _MOST_PACE)
        self.pace += _PACE_WEIGHT * (self.pace * ratio - self.pace)
        self.pace = min(max(self.pace, _LEAST_PACE), _MOST_PACE)

    def on_run_finished(self, took_ms: float) -> None:
        """Learn for how long a request keeps its slot."""
        self.run_ms += _PACE_WEIGHT * (took_ms - self.run_ms)

    def on_send_failure(self, now_ms: int) -> None:
        """Suspect a replica that broke off or could not be reached."""
        length_ms = _FIRST_SUSPICION_MS << min(self._troubles, 5)
        self._troubles += 1
        self._suspect_until_ms = now_ms + min(length_ms, _LONGEST_SUSPICION_MS)

    def on_full(self, now_ms: int) -> None:
        """Send nothing for a moment to a replica that took no request."""
        self._full_until_ms = now_ms + _FULL_MS

    def on_loading(self, now_ms: int, for_ms: int = _LOADING_MS) -> None:
        """Send nothing for a while to a replica that loads weights."""
        until_ms = now_ms + for_ms
        self._loading_until_ms = max(self._loading_until_ms, until_ms)

    def on_loaded(self, model: str, version: int) -> None:
        """Take a replica's own report that it has loaded, before the list says so."""
        self._reported_by_model[model] = version
        self.version_by_model = {**self.version_by_model, model: version}
        self._loading_until_ms = 0

    def weights_it_may_have(self) -> set[tuple[str, int]]:
        """Return every (model, version) that runs there may still be on.

        The list is a heartbeat behind a replica's own report. What this node sends
        by, ``version_by_model``, may be guessed from a rejection, and alone would
        have KV cache freed that other nodes still fetch for the replica.
        """
        may_have = set(self.version_by_model.items())
        for model, listed in _versions(self.entry).items():
            may_have.add((model, max(listed, self._reported_by_model.get(model, 0))))
        return may_have

    def is_loading(self, now_ms: int) -> bool:
        """Tell whether it probably loads weights."""
        return now_ms < self._loading_until_ms

    def is_suspect(self, now_ms: int) -> bool:
        """Tell whether the last sends there failed."""
        return now_ms < self._suspect_until_ms

    def is_full(self, now_ms: int) -> bool:
        """Tell whether it lately took nothing."""
        return now_ms < self._full_until_ms


def _versions(entry: ReplicaEntry) -> dict[str, int]:
    return {item.model: item.version for item in entry.weights}
