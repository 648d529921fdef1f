"""Plays random fillers beside serving tasks in the tests' rig.

Prints each seed in which a serving task was over its target for too long by
fillers that go on, and how the longest times of all seeds are spread. A seed
takes some 200 ms of one processor.
"""

import collections
from concurrent import futures
import functools
import pathlib
import sys

import click

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "tests"))

import tail_rig  # noqa: E402 - the path is set above

CHUNK_SIZE = 20
"""Number of seeds that a process takes at a time."""

LISTED_SEEDS = 20
"""Number of seeds that are listed."""

PLAYED_S = 40.0
"""Virtual time of one seed, in seconds."""


def _play_seed(seed: int, *, is_disturbed: bool) -> tail_rig.Stretch:
    """Returns the longest time over a target that a seed shows."""
    rig = tail_rig.TailRig(seed)
    rig.play(PLAYED_S, is_disturbed=is_disturbed)
    return rig.longest


@click.command()
@click.option("--seeds", default=1000, show_default=True)
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--processes", default=1, show_default=True, help="At a time.")
@click.option("--bound", default=4.0, show_default=True, help="In seconds.")
@click.option(
    "--disturbed",
    is_flag=True,
    help="Lose schedulers and answers, and delay orders.",
)
def main(
    *, seeds: int, first: int, processes: int, bound: float, disturbed: bool
) -> None:
    """Play random fillers; exit with 1 if one breaks the bound."""
    numbers = range(first, first + seeds)
    with futures.ProcessPoolExecutor(processes) as pool:
        stretches = list(
            pool.map(
                functools.partial(_play_seed, is_disturbed=disturbed),
                numbers,
                chunksize=CHUNK_SIZE,
            )
        )
    counts = collections.Counter(int(each.seconds * 2) for each in stretches)
    for half_seconds, count in sorted(counts.items()):
        click.echo(f"{half_seconds / 2:4.1f} s or more: {count}")
    over = [
        (each.seconds, seed, each)
        for seed, each in zip(numbers, stretches, strict=True)
        if each.seconds >= bound
    ]
    for seconds, seed, stretch in sorted(over, reverse=True)[:LISTED_SEEDS]:
        click.echo(
            f"seed {seed}: {seconds:.2f} s from {stretch.begun_s:.2f} s,"
            f" {stretch.task}"
        )
    click.echo(f"{len(over)} of {seeds} seeds over {bound} s")
    if over:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
