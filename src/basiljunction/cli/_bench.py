"""The ``bench`` command, which compares a component with its baselines."""

import pathlib
import sys

import click
import structlog

from basiljunction.bench import _cost_chart
from basiljunction.bench import _registry
from basiljunction.bench import _scheduler_cost

MAX_EXECUTORS = 10_000
"""Most executors of a measured cell; a larger one would not end in minutes."""

_SIZED_BENCHMARK = "scheduler-cost"
"""The benchmark that measures cells of several sizes."""

DEFAULT_SEED = 20261203
"""Seed of the random source if --seed is not given."""


def _parse_executor_counts(
    _context: click.Context, _parameter: click.Parameter, value: str | None
) -> tuple[int, ...] | None:
    """Parses numbers of executors that are separated by commas.

    Raises:
        BadParameter: A part is not a number, or is out of range.
    """
    if value is None:
        return None
    for text in value.split(","):
        if not text.isdecimal() or not 1 <= int(text) <= MAX_EXECUTORS:
            raise click.BadParameter(
                f"{text!r} is not a number of executors from 1 to "
                f"{MAX_EXECUTORS}"
            )
    return tuple(int(text) for text in value.split(","))


@click.command()
@click.argument("name", type=click.Choice(_registry.BENCHMARK_NAMES))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--runs", default=3, show_default=True, help="Runs per figure.")
@click.option("--seed", default=DEFAULT_SEED, show_default=True)
@click.option(
    "--executors",
    "executor_counts",
    metavar="NUMBERS",
    callback=_parse_executor_counts,
    help="Sizes of the cells of scheduler-cost, such as 30,60,1000.",
)
@click.option(
    "--plot",
    "chart_path",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Write a chart of the costs of scheduler-cost, as SVG.",
)
def bench(
    *,
    name: str,
    as_json: bool,
    runs: int,
    seed: int,
    executor_counts: tuple[int, ...] | None,
    chart_path: pathlib.Path | None,
) -> None:
    """Measure benchmark NAME and its baselines in the same run."""
    # Logs go to standard error, so that standard output holds the report
    # alone and can be parsed.
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr)
    )
    if name != _SIZED_BENCHMARK:
        if executor_counts or chart_path:
            raise click.UsageError(
                f"--executors and --plot apply to {_SIZED_BENCHMARK}, "
                f"not to {name}"
            )
        report = _registry.load_benchmark(name).run(runs=runs, seed=seed)
    else:
        report = _scheduler_cost.run(
            runs=runs,
            seed=seed,
            executor_counts=executor_counts or _scheduler_cost.EXECUTOR_COUNTS,
        )
    click.echo(report.to_json() if as_json else report.to_text())
    if chart_path is None:
        return
    try:
        _cost_chart.write_cost_chart(
            report, _scheduler_cost.COST_UNIT, chart_path
        )
    except OSError as error:
        raise click.ClickException(
            f"--plot: {chart_path}: {error.strerror}"
        ) from error
