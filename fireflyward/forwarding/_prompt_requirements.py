"""Derives what a request requires of a replica: weights, memory and KV cache."""

from fireflyward.platform import CallerRequest
from fireflyward.prefixes import KvPlan, PartPlanner, cache_salt
from fireflyward.replicas import Choice, Requirements, SharedPrefix
from fireflyward.routes import Allowed

from ._weights import WeightVersions


class PromptRequirements:
    """Derives the requirements of one request from its prompt's parts; no I/O."""

    __slots__ = ("_allowed", "_caller", "_planner", "_weights")

    def __init__(
        self,
        caller: CallerRequest,
        allowed: Allowed,
        *,
        planner: PartPlanner,
        weights: WeightVersions,
    ) -> None:
        self._caller = caller
        self._allowed = allowed
        self._planner = planner
        self._weights = weights

    @property
    def peak_tokens(self) -> int:
        """Return the tokens in a replica's KV memory at the end of the request."""
        return self._caller.prompt_tokens + self._caller.max_output_tokens

    def criteria(
        self, now_ms: int, software: frozenset[str] | None = None
    ) -> Requirements:
        """Return the criteria by which a replica is chosen.

        ``software`` has the only software versions that may serve the request.
        """
        caller = self._caller
        if not caller.model:
            return Requirements(self._allowed.service, software=software)
        shared = caller.parts[:-1]
        version = self._weights.newest(caller.model)
        prefix_tokens = sum(part.tokens for part in shared)
        return Requirements(
            self._allowed.service,
            prefix_key=shared[-1].part_id if shared else "",
            prefix_tokens=prefix_tokens - self._stored_tokens(version),
            new_tokens=caller.prompt_tokens - prefix_tokens,
            tokens=self.peak_tokens,
            kv_tokens=self._allowed.kv_tokens,
            model=caller.model,
            version=version,
            least_version=self._weights.min_version(now_ms, caller.model),
            pause_ms=self._allowed.route.pause_ms,
            shared_prefix=self.shared_prefix(version),
            software=software,
        )

    def shared_prefix(self, version: int | None) -> SharedPrefix | None:
        """Return the part that runs with the same weights and cache share in memory."""
        shared = self._caller.parts[:-1]
        if not shared or version is None:
            return None
        key = f"{self._salt(version)}/{shared[-1].part_id}"
        return SharedPrefix(key, sum(part.tokens for part in shared))

    def plan_kv(self, now_ms: int, choice: Choice) -> tuple[str | None, KvPlan]:
        """Return the cache salt for the chosen replica, and what to fetch and save."""
        if choice.weights is None:
            return None, KvPlan((), ())
        salt = self._salt(choice.weights)
        parts = ((part.part_id, part.tokens) for part in self._caller.parts)
        plan = self._planner.plan(now_ms, salt, parts, fallback_source=choice.kv_source)
        return salt, plan

    def _stored_tokens(self, version: int | None) -> int:
        """Return how many of the shared tokens the stores have for a version."""
        if version is None:
            return 0
        parts = ((part.part_id, part.tokens) for part in self._caller.parts[:-1])
        return self._planner.stored_tokens(self._salt(version), parts)

    def _salt(self, version: int) -> str:
        account = self._allowed.account
        isolated_account = account.name if account and account.is_isolated else None
        return cache_salt(self._caller.model, version, isolated_account)
