"""The state of one replica that routing uses, with the age of that state."""

import math
from dataclasses import dataclass, field

from fireflyward.upstreams import LoadReport

DEFAULT_MS_PER_TOKEN = 0.05
_REPORTED_BACKLOG_SHARE = 0.25
_REPORT_DECAY_MS = 100.0
_FASTER_SAMPLE_WEIGHT = 0.3
_SLOWER_SAMPLE_WEIGHT = 0.005
_MIN_SAMPLE_TOKENS = 128
_MIN_MS_PER_TOKEN = 0.001
_MAX_MS_PER_TOKEN = 10.0


@dataclass(frozen=True, slots=True)
class RunShape:
    """The properties of a run on which routing decides.

    ``block_keys`` are the keys of the full blocks of the prompt, first to last.
    ``run_id`` associates the choice of a replica with the events that the replica
    sends for the run.
    """

    account: str
    model: str
    version: str
    prompt_tokens: int
    block_keys: tuple[str, ...] = ()
    run_id: str = ""


@dataclass(slots=True)
class Candidate:
    """A replica that may serve runs, with its last report and this node's counts.

    ``pending_tokens`` is the number of prompt tokens that the replica still has to
    compute for runs which this node sent and which have no first token yet.
    ``ms_per_token`` is the prefill speed, measured from the times to first tokens.
    """

    name: str
    failure_domain: str
    models: tuple[str, ...]
    version_by_model: dict[str, str] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_at_ms: int = 0
    in_flight: int = 0
    leaving: bool = False
    suspect_until_ms: int = 0
    failures: int = 0
    ms_per_token: float = DEFAULT_MS_PER_TOKEN
    has_measured_speed: bool = False
    pending_tokens: float = 0.0

    def report_age_ms(self, now_ms: int) -> int:
        """Return the age of the state that the last report describes."""
        return now_ms - self.reported_at_ms

    def update_report(self, reported_at_ms: int, report: LoadReport) -> bool:
        """Store a report unless a newer one is stored; return whether it was stored."""
        if self.report is not None and reported_at_ms < self.reported_at_ms:
            return False
        restarted = self.report is not None and report.epoch != self.report.epoch
        self.leaving = report.leaving or (self.leaving and not restarted)
        self.report = report
        self.reported_at_ms = reported_at_ms
        self.version_by_model = report.version_by_model
        return True

    def backlog_tokens(self, now_ms: float) -> float:
        """Return the estimated number of tokens computed before a new run's.

        The tokens of this node's own runs are known exactly and count in full. The
        tokens in the report count at most a quarter, and less the older the report
        is: all nodes receive the same report, and if each of them reacted to all of it,
        they would together move several times the excess load, and move it back
        with the next report. docs/design/routing.md has figures.
        """
        if self.report is None:
            return self.pending_tokens
        decay = math.exp(-max(0.0, now_ms - self.reported_at_ms) / _REPORT_DECAY_MS)
        reported_tokens = (
            _REPORTED_BACKLOG_SHARE * decay * self.report.queued_prefill_tokens
        )
        return self.pending_tokens + reported_tokens

    def update_speed(self, elapsed_ms: float, tokens: float) -> None:
        """Update the prefill speed from one first token and the tokens it needed.

        The measured time also includes any wait behind other runs. The estimate
        therefore follows lower samples quickly and higher samples slowly, so that
        it approaches the time of the prefill alone.
        """
        if tokens < _MIN_SAMPLE_TOKENS:
            return
        sample = min(max(elapsed_ms / tokens, _MIN_MS_PER_TOKEN), _MAX_MS_PER_TOKEN)
        self.has_measured_speed = True
        weight = (
            _FASTER_SAMPLE_WEIGHT
            if sample < self.ms_per_token
            else _SLOWER_SAMPLE_WEIGHT
        )
        self.ms_per_token += weight * (sample - self.ms_per_token)
