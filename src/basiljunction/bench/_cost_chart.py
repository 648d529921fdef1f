"""Draws how a cost is made up in each case of a benchmark."""

import pathlib

import pygal
from pygal import style

from basiljunction.bench import _report


def write_cost_chart(
    report: _report.Report, unit: str, path: pathlib.Path
) -> None:
    """Writes an SVG chart with a stacked bar for each case.

    Args:
        report: The report.
        unit: Unit of the rows to draw, which add up to the cost of a case.
        path: File to write.

    Raises:
        OSError: The file cannot be written.
    """
    rows = [row for row in report.rows if row.unit == unit]
    cases = list(dict.fromkeys(row.case for row in rows))
    chart = pygal.StackedBar(
        title=report.name, style=style.CleanStyle, js=[], truncate_legend=-1
    )
    chart.y_title = unit
    chart.x_labels = cases
    for metric in dict.fromkeys(row.metric for row in rows):
        median_by_case = {
            row.case: row.median for row in rows if row.metric == metric
        }
        chart.add(metric, [median_by_case.get(case) for case in cases])
    path.write_bytes(chart.render())
