"""Measures the traffic of load sharing per node and the age of load reports."""

from fireflyward.bench._bench import Bench, Figure
from fireflyward.bench._load_mesh import LoadMesh, MeshNode

_SIZES = ((3, 9), (9, 30), (35, 120))
_SETTLING_MS = 6_000
_MEASURED_MS = 8_000
_MS_PER_SECOND = 1_000


def _figures() -> list[Figure]:
    figures = []
    for nodes, replicas in _SIZES:
        mesh = LoadMesh(nodes, replicas)
        mesh.run(_SETTLING_MS)
        mesh.reset_counts()
        mesh.run(_MEASURED_MS)
        figures.extend(_rows(f"load_sharing.nodes_{nodes}", mesh))
    return figures


def _rows(series: str, mesh: LoadMesh) -> list[Figure]:
    nodes = list(mesh.node_by_name.values())
    oldest = max(mesh.oldest_entry_ms(name) for name in mesh.node_by_name)
    return [
        Figure(f"{series}.sent", _mean_rate(nodes, "sent_bytes"), "B/s"),
        Figure(f"{series}.received", _mean_rate(nodes, "received_bytes"), "B/s"),
        Figure(f"{series}.most_sent", _highest_rate(nodes, "sent_bytes"), "B/s"),
        Figure(
            f"{series}.most_received", _highest_rate(nodes, "received_bytes"), "B/s"
        ),
        Figure(f"{series}.oldest_report", oldest, "ms"),
    ]


def _mean_rate(nodes: list[MeshNode], field_name: str) -> float:
    total = sum(getattr(node, field_name) for node in nodes)
    return total * _MS_PER_SECOND / _MEASURED_MS / len(nodes)


def _highest_rate(nodes: list[MeshNode], field_name: str) -> float:
    highest = max(getattr(node, field_name) for node in nodes)
    return highest * _MS_PER_SECOND / _MEASURED_MS


BENCH = Bench("load_sharing", _figures, is_count=True)
