"""Figures of ``fireflyward bench``, measured once for the page."""

from fireflyward.bench import find_benches

_USED = (
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
    """Values by figure name; asking for one that nobody measured is an error."""

    __slots__ = ("_value_by_name",)

    def __init__(self) -> None:
        bench_by_name = find_benches()
        self._value_by_name = {
            figure.name: figure.value
            for name in _USED
            if name in bench_by_name
            for figure in bench_by_name[name].run()
        }

    def __getitem__(self, name: str) -> float:
        return self._value_by_name[name]
