"""What load sharing costs a node, and how old reports get."""

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
    members = list(mesh.node_by_name.values())
    oldest = max(mesh.oldest_entry_ms(name) for name in mesh.node_by_name)
    return [
        Figure(f"{series}.sent", _mean(members, "sent_bytes"), "B/s"),
        Figure(f"{series}.received", _mean(members, "received_bytes"), "B/s"),
        Figure(f"{series}.most_sent", _most(members, "sent_bytes"), "B/s"),
        Figure(f"{series}.most_received", _most(members, "received_bytes"), "B/s"),
        Figure(f"{series}.oldest_report", oldest, "ms"),
    ]


def _mean(members: list[MeshNode], what: str) -> float:
    total = sum(getattr(node, what) for node in members)
    return total * _MS_PER_SECOND / _MEASURED_MS / len(members)


def _most(members: list[MeshNode], what: str) -> float:
    most = max(getattr(node, what) for node in members)
    return most * _MS_PER_SECOND / _MEASURED_MS


BENCH = Bench("load_sharing", _figures, is_count=True)
