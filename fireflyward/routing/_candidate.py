"""What a node knows of one replica, and how old it is."""

import math
from dataclasses import dataclass, field

from fireflyward.upstreams import LoadReport

DEFAULT_MS_PER_TOKEN = 0.05
_REPORT_SHARE = 0.25
_REPORT_LIFE_MS = 100.0
_RATE_DOWN = 0.3
_RATE_UP = 0.005
_LEAST_TOKENS_TO_LEARN = 128
_LEAST_MS_PER_TOKEN = 0.001
_MOST_MS_PER_TOKEN = 10.0


@dataclass(frozen=True, slots=True)
class RunShape:
    """What routing needs to know of a run.

    ``block_keys`` name the full blocks of the prompt, first to last; ``run_id``
    links the choice with what the replica answers.
    """

    account: str
    model: str
    version: str
    prompt_tokens: int
    block_keys: tuple[str, ...] = ()
    run_id: str = ""


@dataclass(slots=True)
class Candidate:
    """One replica as this node knows it.

    ``pending_tokens`` are what this node's own runs without a first token yet
    have to compute here; ``ms_per_token`` is the prefill speed as learnt from
    first tokens.
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
    has_learnt_speed: bool = False
    pending_tokens: float = 0.0

    def report_age_ms(self, now_ms: int) -> int:
        """Return the age of what the last report describes."""
        return now_ms - self.reported_at_ms

    def take_report(self, reported_at_ms: int, report: LoadReport) -> bool:
        """Keep a report unless a newer one is known; tell whether it was kept."""
        if self.report is not None and reported_at_ms < self.reported_at_ms:
            return False
        restarted = self.report is not None and report.epoch != self.report.epoch
        self.leaving = report.leaving or (self.leaving and not restarted)
        self.report = report
        self.reported_at_ms = reported_at_ms
        self.version_by_model = report.version_by_model
        return True

    def backlog_tokens(self, now_ms: float) -> float:
        """Return the tokens that a new run is taken to wait for here.

        This node's own runs count in full, since they are known exactly. What the
        report adds counts for less the older it is, and never for more than a
        quarter: all nodes see the same report, and if each acted on the whole of
        it, they would together move several times the load that is out of balance,
        and move it back on the next report. docs/design/routing.md has figures.
        """
        if self.report is None:
            return self.pending_tokens
        faded = math.exp(-max(0.0, now_ms - self.reported_at_ms) / _REPORT_LIFE_MS)
        believed = _REPORT_SHARE * faded * self.report.queued_prefill_tokens
        return self.pending_tokens + believed

    def learn_speed(self, elapsed_ms: float, tokens: float) -> None:
        """Learn from the time to one first token and the tokens computed for it.

        The time holds any wait behind other runs too, so the speed follows low
        values quickly and high ones slowly: what is left is the pure prefill.
        """
        if tokens < _LEAST_TOKENS_TO_LEARN:
            return
        seen = min(max(elapsed_ms / tokens, _LEAST_MS_PER_TOKEN), _MOST_MS_PER_TOKEN)
        self.has_learnt_speed = True
        rate = _RATE_DOWN if seen < self.ms_per_token else _RATE_UP
        self.ms_per_token += rate * (seen - self.ms_per_token)
