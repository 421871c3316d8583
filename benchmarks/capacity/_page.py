"""Fills the measurements into the text and tables of docs/CAPACITY.md."""

from dataclasses import dataclass

from ._size import PLANNED, TODAY, Size
from ._text import read_section
from ._work import Measurements

_MB = 1e6
_CORE_US = 1e6
_BLOCKS_PER_PROMPT = 32
_NON_IDEMPOTENT_SHARE = 0.1
_WRITES_PER_S_PER_NODE = 0.7
_SWAPPED_REPLICAS = 6
_MEMORY_BUDGET_MB = 64.0
_CPU_BUDGET_PERCENT = 2.8
_TRAFFIC_BUDGET_BYTES_PER_S = 4_000.0


@dataclass(frozen=True, slots=True)
class Row:
    """The cost of one role at a node of one size; None if the role has no such cost."""

    role: str
    state_mb: float | None = None
    bytes_per_s: float | None = None
    core_percent: float | None = None
    table_per_s: float | None = None


def write_page(measurements: Measurements) -> str:
    """Return the page as Markdown."""
    parts = [read_section("head")]
    for size in (TODAY, PLANNED):
        parts += [_table(size, _rows(measurements, size)), ""]
    parts += [
        read_section("budget_note"),
        _slopes(measurements),
        "",
        read_section("role_notes"),
    ]
    parts += [_unsupported_section(measurements), read_section("bad_days")]
    return "\n".join(parts)


def _rows(measurements: Measurements, size: Size) -> list[Row]:
    figures = measurements.figures
    is_planned = size is PLANNED
    nodes = 350 if is_planned else 9
    nodes_in_domain = 35 if is_planned else 3
    accounts = 19_000 if is_planned else 100
    changes = figures[f"bundle_bytes.accounts_{accounts}.changes_per_node_s"]
    verify_ms = figures[f"bundle_cost.accounts_{accounts}.verify_change_ms"]
    account_bytes = figures[f"bundle_cost.accounts_{accounts}.memory_per_account"]
    choice_us = measurements.choice_us.at(size.replicas / size.models)
    non_idempotent_per_s = size.requests_per_s * _NON_IDEMPOTENT_SHARE
    prompts_per_node = size.prompts / size.failure_domains / size.nodes_per_domain * 2
    return [
        Row(
            "process, idle", measurements.idle_mb, None, measurements.idle_core_percent
        ),
        Row(
            "routing state",
            (
                measurements.router_bytes.at(size.replicas)
                + measurements.prefix_record_bytes
            )
            / _MB,
            None,
            choice_us * size.requests_per_node / _CORE_US * 100,
        ),
        Row(
            "load sharing",
            None,
            figures[f"load_sharing.nodes_{nodes_in_domain}.sent"],
            figures[f"load_sharing_cpu.nodes_{nodes_in_domain}"],
        ),
        Row(
            "membership",
            max(0.0, measurements.members_bytes.at(size.nodes)) / _MB,
            figures[f"membership.nodes_{nodes}.bytes_per_node_s"],
            figures["membership_cpu.codec_core_share"]
            + figures["membership_cpu.decisions_core_share"],
        ),
        Row(
            "limits",
            measurements.admission_bytes.at(min(size.client_accounts, 400)) / _MB,
            figures[f"account_shares.nodes_{nodes_in_domain}.sent"],
        ),
        Row(
            "run records",
            table_per_s=min(non_idempotent_per_s * 1.125, non_idempotent_per_s * 2),
        ),
        Row(
            "block index",
            prompts_per_node * figures["kept_index.bytes_per_prompt"] / _MB,
            _events_bytes(measurements, size),
        ),
        Row(
            "bundle distribution",
            account_bytes * size.client_accounts / _MB,
            changes,
            verify_ms * 1e3 * size.changes_per_s / _CORE_US * 100,
            figures[f"bundle_spread.nodes_{nodes}.table_reads_per_s"],
        ),
        Row(
            "leases, rollout driver",
            table_per_s=figures[f"lease_table.nodes_{nodes}.reads_per_s"]
            + figures[f"lease_table.nodes_{nodes}.writes_per_s"],
        ),
    ]


def _events_bytes(measurements: Measurements, size: Size) -> float:
    """Return the bytes of cache events that a node reads per second.

    A node follows all replicas of a deployment of at most 32 replicas; in a larger
    deployment it follows those of its failure domain.
    """
    followed = size.replicas if size.replicas <= 32 else size.replicas_per_domain
    blocks_per_s = size.requests_per_s * _BLOCKS_PER_PROMPT / size.replicas
    bytes_per_block = measurements.figures["kept_wire.events_bytes_per_block"]
    return followed * blocks_per_s * bytes_per_block


def _table(size: Size, rows: list[Row]) -> str:
    lines = [
        f"## A node at the size {size.name}",
        "",
        f"{size.nodes} nodes, {size.replicas} replicas, {size.client_accounts} client "
        f"accounts, {size.prompts:,} returning prompts, {size.requests_per_s:,.0f} "
        "requests/s in all.",
        "",
        "| Role | State MB | B/s | % of a core | Table calls/s, all nodes |",
        "| --- | ---: | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {row.role} | {_cell(row.state_mb)} | {_cell(row.bytes_per_s)} "
        f"| {_cell(row.core_percent)} | {_cell(row.table_per_s)} |"
        for row in rows
    ]
    memory_mb, bytes_per_s, core_percent, table_per_s = (
        sum(getattr(row, name) or 0.0 for row in rows)
        for name in ("state_mb", "bytes_per_s", "core_percent", "table_per_s")
    )
    lines.append(
        f"| **total** | **{memory_mb:.1f}** ({_verdict(memory_mb, _MEMORY_BUDGET_MB)}) "
        f"| **{bytes_per_s:,.0f}** "
        f"({_verdict(bytes_per_s, _TRAFFIC_BUDGET_BYTES_PER_S)}) "
        f"| **{core_percent:.2f}** ({_verdict(core_percent, _CPU_BUDGET_PERCENT)}) "
        f"| **{table_per_s:.1f}** |"
    )
    return "\n".join(lines)


def _verdict(value: float, allowed: float) -> str:
    return f"fits {allowed:g}" if value <= allowed else f"does not fit {allowed:g}"


def _cell(value: float | None) -> str:
    if value is None:
        return ""
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


def _slopes(measurements: Measurements) -> str:
    slope_by_name = {
        "router, bytes by replicas": measurements.router_bytes,
        "one choice, µs by replicas of the model": measurements.choice_us,
        "member list, bytes by nodes": measurements.members_bytes,
        "admission, bytes by accounts with a request": measurements.admission_bytes,
    }
    lines = [
        "## Slopes behind the tables",
        "",
        "| What | Sizes | Measured | Base | Each more | Worst miss of the line |",
        "| --- | --- | --- | ---: | ---: | ---: |",
    ]
    for name, slope in slope_by_name.items():
        sizes = ", ".join(f"{size:g}" for size in slope.sizes)
        values = ", ".join(f"{value:,.0f}" for value in slope.values)
        lines.append(
            f"| {name} | {sizes} | {values} | {slope.base:,.0f} "
            f"| {slope.per_unit:,.1f} | {slope.worst_relative_error:.0%} |"
        )
    lines += ["", _entry_text(measurements)]
    return "\n".join(lines)


def _entry_text(measurements: Measurements) -> str:
    tokens = PLANNED.tokens_per_s / PLANNED.nodes
    used_us = (
        measurements.request_us * PLANNED.requests_per_node
        + measurements.token_us * tokens
    )
    return (
        "Entry work, which is serving and not control: "
        f"{measurements.request_us:,.0f} µs of CPU a request of 20 tokens that come at "
        f"once, and {measurements.token_us:,.0f} µs for each token that comes alone. "
        "At the planned peak a node has "
        f"{PLANNED.requests_per_node:.2f} requests/s and "
        f"{tokens:,.0f} tokens/s, which is {used_us / _CORE_US * 100:.1f}% of a core. "
        "The other figures are those of `fireflyward bench`. The idle process holds "
        f"{measurements.idle_private_mb:.1f} MB of its own; the rest is mapped from "
        "files."
    )


def _unsupported_section(measurements: Measurements) -> str:
    events = _events_bytes(measurements, PLANNED)
    requests_per_s = PLANNED.requests_per_s
    commits = PLANNED.nodes * measurements.figures["run_records.rate_4.commits_per_s"]
    allowed = _WRITES_PER_S_PER_NODE * PLANNED.nodes
    swap_s = measurements.figures["rollout_swap.andinos.loads_2.duration_s"]
    return read_section(
        "not_carried",
        events=events,
        requests_per_s=requests_per_s,
        commits=commits,
        allowed=allowed,
        share=allowed / commits,
        minutes=swap_s / _SWAPPED_REPLICAS * PLANNED.replicas / 60,
    )
