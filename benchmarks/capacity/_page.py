"""Puts what was measured into the words and tables of docs/CAPACITY.md."""

from dataclasses import dataclass

from ._size import PLANNED, TODAY, Size
from ._text import words
from ._work import Measured

_MB = 1e6
_CORE_US = 1e6
_BLOCKS_IN_PROMPT = 32
_ONCE_SHARE = 0.1
_GUARDED_WRITES_A_NODE = 0.7
_SWAPPED_REPLICAS = 6
_MEMORY_MB = 64.0
_CORE_PERCENT = 2.8
_BYTES_A_SECOND = 4_000.0


@dataclass(frozen=True, slots=True)
class Row:
    """What one role costs a node at one size; None where it has no such cost."""

    role: str
    state_mb: float | None = None
    bytes_per_s: float | None = None
    core_percent: float | None = None
    table_per_s: float | None = None


def write_page(measured: Measured) -> str:
    """Return the page."""
    parts = [words("head")]
    for size in (TODAY, PLANNED):
        parts += [_table(size, _rows(measured, size)), ""]
    parts += [words("budget_note"), _slopes(measured), "", words("role_notes")]
    parts += [_not_carried(measured), words("bad_days")]
    return "\n".join(parts)


def _rows(measured: Measured, size: Size) -> list[Row]:
    figures = measured.figures
    is_planned = size is PLANNED
    nodes = 350 if is_planned else 9
    in_domain = 35 if is_planned else 3
    accounts = 19_000 if is_planned else 100
    changes = figures[f"bundle_bytes.accounts_{accounts}.changes_per_node_s"]
    verify_ms = figures[f"bundle_cost.accounts_{accounts}.verify_change_ms"]
    account_bytes = figures[f"bundle_cost.accounts_{accounts}.memory_per_account"]
    choice_us = measured.choice_us.at(size.replicas / size.models)
    once_per_s = size.requests_per_s * _ONCE_SHARE
    prompts_here = size.prompts / size.failure_domains / size.nodes_a_domain * 2
    return [
        Row("process, idle", measured.idle_mb, None, measured.idle_core_percent),
        Row(
            "routing state",
            (measured.router_bytes.at(size.replicas) + measured.prefix_record_bytes)
            / _MB,
            None,
            choice_us * size.requests_a_node / _CORE_US * 100,
        ),
        Row(
            "load sharing",
            None,
            figures[f"load_sharing.nodes_{in_domain}.sent"],
            figures[f"load_sharing_cpu.nodes_{in_domain}"],
        ),
        Row(
            "membership",
            max(0.0, measured.members_bytes.at(size.nodes)) / _MB,
            figures[f"membership.nodes_{nodes}.bytes_per_node_s"],
            figures["membership_cpu.codec_core_share"]
            + figures["membership_cpu.decisions_core_share"],
        ),
        Row(
            "limits",
            measured.admission_bytes.at(min(size.client_accounts, 400)) / _MB,
            figures[f"account_shares.nodes_{in_domain}.sent"],
        ),
        Row("run records", table_per_s=min(once_per_s * 1.125, once_per_s * 2)),
        Row(
            "block index",
            prompts_here * figures["kept_index.bytes_per_prompt"] / _MB,
            _events_bytes(measured, size),
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


def _events_bytes(measured: Measured, size: Size) -> float:
    """Return the bytes a second of cache events that a node reads.

    A node follows all replicas up to 32, above that those of its failure domain.
    """
    followed = size.replicas if size.replicas <= 32 else size.replicas_a_domain
    blocks_per_s = size.requests_per_s * _BLOCKS_IN_PROMPT / size.replicas
    each = measured.figures["kept_wire.events_bytes_per_block"]
    return followed * blocks_per_s * each


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
    memory, wire, core, table = (
        sum(getattr(row, name) or 0.0 for row in rows)
        for name in ("state_mb", "bytes_per_s", "core_percent", "table_per_s")
    )
    lines.append(
        f"| **total** | **{memory:.1f}** ({_fits(memory, _MEMORY_MB)}) "
        f"| **{wire:,.0f}** ({_fits(wire, _BYTES_A_SECOND)}) "
        f"| **{core:.2f}** ({_fits(core, _CORE_PERCENT)}) | **{table:.1f}** |"
    )
    return "\n".join(lines)


def _fits(value: float, allowed: float) -> str:
    return f"fits {allowed:g}" if value <= allowed else f"does not fit {allowed:g}"


def _cell(value: float | None) -> str:
    if value is None:
        return ""
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


def _slopes(measured: Measured) -> str:
    named = {
        "router, bytes by replicas": measured.router_bytes,
        "one choice, µs by replicas of the model": measured.choice_us,
        "member list, bytes by nodes": measured.members_bytes,
        "admission, bytes by accounts with a request": measured.admission_bytes,
    }
    lines = [
        "## Slopes behind the tables",
        "",
        "| What | Sizes | Measured | Base | Each more | Worst miss of the line |",
        "| --- | --- | --- | ---: | ---: | ---: |",
    ]
    for name, slope in named.items():
        sizes = ", ".join(f"{size:g}" for size in slope.sizes)
        values = ", ".join(f"{value:,.0f}" for value in slope.values)
        lines.append(
            f"| {name} | {sizes} | {values} | {slope.base:,.0f} | {slope.each:,.1f} "
            f"| {slope.worst_miss:.0%} |"
        )
    lines += ["", _entry_words(measured)]
    return "\n".join(lines)


def _entry_words(measured: Measured) -> str:
    tokens = PLANNED.tokens_per_s / PLANNED.nodes
    used_us = measured.request_us * PLANNED.requests_a_node + measured.token_us * tokens
    return (
        "Entry work, which is serving and not control: "
        f"{measured.request_us:,.0f} µs of CPU a request of 20 tokens that come at "
        f"once, and {measured.token_us:,.0f} µs for each token that comes alone. At "
        f"the planned peak a node has {PLANNED.requests_a_node:.2f} requests/s and "
        f"{tokens:,.0f} tokens/s, which is {used_us / _CORE_US * 100:.1f}% of a core. "
        "The other figures are those of `fireflyward bench`. The idle process holds "
        f"{measured.idle_private_mb:.1f} MB of its own; the rest is mapped from files."
    )


def _not_carried(measured: Measured) -> str:
    events = _events_bytes(measured, PLANNED)
    once = PLANNED.requests_per_s
    commits = PLANNED.nodes * measured.figures["run_records.rate_4.commits_per_s"]
    allowed = _GUARDED_WRITES_A_NODE * PLANNED.nodes
    swap_s = measured.figures["rollout_swap.andinos.loads_2.duration_s"]
    return words(
        "not_carried",
        events=events,
        once=once,
        commits=commits,
        allowed=allowed,
        share=allowed / commits,
        minutes=swap_s / _SWAPPED_REPLICAS * PLANNED.replicas / 60,
    )
