"""Measures the processor time of load sharing at a node, by nodes and replicas."""

from fireflyward.bench._bench import Bench, Figure
from fireflyward.bench._load_mesh import LoadMesh

_SIZES = ((3, 9), (9, 30), (35, 120), (70, 240))
_SETTLING_MS = 6_000
_MEASURED_MS = 10_000
_MS_PER_SECOND = 1_000
_PERCENT = 100


def _figures() -> list[Figure]:
    figures = []
    for nodes, replicas in _SIZES:
        mesh = LoadMesh(nodes, replicas)
        mesh.run(_SETTLING_MS)
        mesh.reset_counts()
        mesh.run(_MEASURED_MS)
        share = mesh.cpu_s * _MS_PER_SECOND / _MEASURED_MS / nodes
        name = f"load_sharing_cpu.nodes_{nodes}"
        figures.append(Figure(name, share * _PERCENT, "% of a core"))
    return figures


BENCH = Bench("load_sharing_cpu", _figures, is_count=False)
