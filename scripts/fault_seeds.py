"""Runs cells of the fault matrix under many seeds and counts failed cells.

A cell is a step of the system with the faults that are injected at it. Each
seed chooses a few cells; one in three gets a second fault. Prints each failed
cell with its seed, and the totals.
"""

from concurrent import futures
import dataclasses
import pathlib
import random
import sys
import time

import click
import structlog

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "tests"))

from faults import cells  # noqa: E402 - the path is set above
from faults import injection  # noqa: E402 - the path is set above
from faults import possible  # noqa: E402 - the path is set above
from faults import steps  # noqa: E402 - the path is set above

PAIR_SHARE = 1 / 3
"""Share of the cells that get a second fault."""

SEVERE_FAULTS = (
    injection.Fault.DIE_AFTER,
    injection.Fault.LOG_DOWN,
    injection.Fault.PAUSE,
)
"""Faults that are drawn as the second fault of a cell."""


@dataclasses.dataclass(frozen=True, slots=True)
class SeededCell:
    """A step with its faults and the seed to run it under."""

    step: steps.Step
    faults: tuple[injection.Fault, ...]
    seed: int


def _choose_cells(seed: int, count: int) -> list[SeededCell]:
    """Returns the cells that a seed chooses."""
    source = random.Random(f"seeds/{seed}")
    chosen = []
    for step, fault in source.sample(possible.list_possible_cells(), count):
        faults: tuple[injection.Fault, ...] = (fault,)
        if source.random() < PAIR_SHARE:
            faults = (source.choice(SEVERE_FAULTS), fault)
        chosen.append(SeededCell(step, faults, seed))
    return chosen


def _run_cell(cell: SeededCell) -> tuple[SeededCell, cells.CellResult]:
    """Runs a cell with logs silenced; returns it with its result."""
    quiet = structlog.make_filtering_bound_logger(50)
    structlog.configure(wrapper_class=quiet)
    return cell, cells.run_cell(cell.step, cell.faults, cell.seed)


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--cells", "count", default=6, help="Cells of each seed.")
@click.option("--processes", default=8, show_default=True)
def main(seeds: int, first: int, count: int, processes: int) -> None:
    """Run cells under many seeds; exit with 1 if a cell fails."""
    chosen = [
        cell
        for seed in range(first, first + seeds)
        for cell in _choose_cells(seed, count)
    ]
    began_s = time.monotonic()
    failed_count = 0
    not_fired_count = 0
    with futures.ProcessPoolExecutor(processes) as pool:
        for cell, result in pool.map(_run_cell, chosen, chunksize=4):
            not_fired_count += not result.injected_faults
            if result.violations:
                failed_count += 1
                names = "+".join(cell.faults)
                click.echo(
                    f"red: seed {cell.seed} {cell.step} {names}:"
                    f" {result.violations}"
                )
    took_s = time.monotonic() - began_s
    click.echo(
        f"{seeds} seeds from {first}, {len(chosen)} cells, {failed_count} red,"
        f" {not_fired_count} without a hit of their step, {took_s:.0f} s"
    )
    sys.exit(1 if failed_count else 0)


if __name__ == "__main__":
    main()
