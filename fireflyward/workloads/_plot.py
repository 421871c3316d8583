"""Draws the table as bar charts; only this module needs matplotlib."""

_WIDTH, _HEIGHT = 10, 4
_BARS = (
    ("recomputed_share", "recomputed share of prompt tokens"),
    ("first_token_p95_ms", "time to first token, 95th percentile (ms)"),
)


def draw_table(title: str, rows: list[dict[str, str | float]], path: str) -> None:
    """Draw the recomputed share and the 95th percentile of each row as bars."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(_BARS), figsize=(_WIDTH, _HEIGHT))
    names = [row["policy"] for row in rows]
    for axis, (column, label) in zip(axes, _BARS, strict=True):
        axis.barh(names, [row[column] for row in rows])
        axis.invert_yaxis()
        axis.set_xlabel(label)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
