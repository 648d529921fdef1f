"""The ``bench`` command, which compares a component with its baselines."""

import sys

import click
import structlog

from basiljunction.bench import _registry

DEFAULT_SEED = 20261203
"""Seed of the random source if --seed is not given."""


@click.command()
@click.argument("name", type=click.Choice(_registry.BENCHMARK_NAMES))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--runs", default=3, show_default=True, help="Runs per figure.")
@click.option("--seed", default=DEFAULT_SEED, show_default=True)
def bench(name: str, as_json: bool, runs: int, seed: int) -> None:
    """Measure benchmark NAME and its baselines in the same run."""
    # Logs go to standard error, so that standard output holds the report
    # alone and can be parsed.
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr)
    )
    report = _registry.load_benchmark(name).run(runs=runs, seed=seed)
    click.echo(report.to_json() if as_json else report.to_text())
