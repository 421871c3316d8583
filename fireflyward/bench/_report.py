"""Writes a report of measured figures: a table and one plot per family."""

from pathlib import Path

from ._bench import Row

_PLOT_NAME = "figures.png"
_FAMILY_PARTS = 2


def write_report(directory: Path, rows: list[Row]) -> None:
    """Write ``report.md`` and a plot of each family of figures to ``directory``.

    Figures belong to one family when the first two parts of their names are equal,
    as in ``replay.andinos.ours`` and ``replay.andinos.bound``. Only this function
    imports matplotlib, because serving does not need it.
    """
    directory.mkdir(parents=True, exist_ok=True)
    lines = ["# Measurements", "", "| Figure | Value | Unit | Bound | Verdict |"]
    lines.append("| --- | ---: | --- | --- | --- |")
    for row in rows:
        figure = row.figure
        lines.append(
            f"| {figure.name} | {figure.value:.4g} | {figure.unit} "
            f"| {row.bound_text} | {row.verdict} |"
        )
    lines += ["", f"![the figures by family]({_PLOT_NAME})", ""]
    (directory / "report.md").write_text("\n".join(lines))
    _plot(directory / _PLOT_NAME, rows)


def _plot(path: Path, rows: list[Row]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows_by_family: dict[str, list[Row]] = {}
    for row in rows:
        rows_by_family.setdefault(_family(row.figure.name), []).append(row)
    count = max(1, len(rows_by_family))
    chart, axes = pyplot.subplots(count, 1, figsize=(9, 2.4 * count), squeeze=False)
    for axis, (family, members) in zip(
        axes[:, 0], rows_by_family.items(), strict=False
    ):
        names = [member.figure.name.removeprefix(family + ".") for member in members]
        axis.barh(names, [member.figure.value for member in members])
        axis.set_title(family, fontsize=9)
        axis.tick_params(labelsize=7)
    chart.tight_layout()
    chart.savefig(path, dpi=80)
    pyplot.close(chart)


def _family(name: str) -> str:
    return ".".join(name.split(".")[:_FAMILY_PARTS])
