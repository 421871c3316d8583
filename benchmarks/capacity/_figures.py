"""Figures of ``fireflyward bench``, measured once for docs/CAPACITY.md."""

from fireflyward.bench import find_benches

_BENCH_NAMES = (
    "account_shares",
    "bundle_bytes",
    "bundle_cost",
    "bundle_spread",
    "kept_index",
    "kept_shards",
    "kept_wire",
    "lease_table",
    "load_sharing",
    "load_sharing_cpu",
    "membership",
    "membership_cpu",
    "platform_return",
    "restarts",
    "rollout_swap",
    "run_records",
)


class Figures:
    """Values by figure name; a name without a measured value raises KeyError."""

    __slots__ = ("_value_by_name",)

    def __init__(self) -> None:
        bench_by_name = find_benches()
        self._value_by_name = {
            figure.name: figure.value
            for name in _BENCH_NAMES
            if name in bench_by_name
            for figure in bench_by_name[name].run()
        }

    def __getitem__(self, name: str) -> float:
        return self._value_by_name[name]
