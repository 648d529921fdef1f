"""Plays random sequences of planned work and losses beside lasting tasks.

Each seed draws a sequence and plays it in the tests' rig, which checks at each
step that no lasting task is without a run for too long. Prints each seed that
broke a rule, and the first of them with as few actions as possible. A seed
takes some 150 ms of one processor.
"""

from concurrent import futures
import functools
import pathlib
import sys

import click

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "tests"))

import restart_sequences  # noqa: E402 - the path is set above
import wait_sequences  # noqa: E402 - the path is set above

CHUNK_SIZE = 20
"""Number of seeds that a process takes at a time."""

LISTED_SEEDS = 20
"""Number of seeds that are listed."""

_NAMES = tuple(each.value for each in wait_sequences.Incident)


def _play_seed(
    mix: wait_sequences.WaitMix, seed: int
) -> restart_sequences.Outcome:
    """Plays the sequence of a seed."""
    return restart_sequences.play(wait_sequences.draw_sequence(seed, mix))


@click.command()
@click.option("--seeds", default=500, show_default=True)
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--processes", default=1, show_default=True, help="At a time.")
@click.option(
    "--incident",
    "names",
    multiple=True,
    type=click.Choice(_NAMES),
    help="What may happen; all if none is given.",
)
@click.option(
    "--shortest-term",
    default=0.0,
    show_default=True,
    help="Shortest time for which a scheduler is at work, in seconds.",
)
@click.option("--show", default=1, help="Number of sequences to shorten.")
def main(
    *,
    seeds: int,
    first: int,
    processes: int,
    names: tuple[str, ...],
    shortest_term: float,
    show: int,
) -> None:
    """Play random sequences; exit with 1 if one breaks a rule."""
    mix = wait_sequences.WaitMix(
        incidents=frozenset(
            wait_sequences.Incident(each) for each in names or _NAMES
        ),
        shortest_term_s=shortest_term,
    )
    with futures.ProcessPoolExecutor(processes) as pool:
        failed = [
            outcome
            for outcome in pool.map(
                functools.partial(_play_seed, mix),
                range(first, first + seeds),
                chunksize=CHUNK_SIZE,
            )
            if outcome.fault
        ]
    for outcome in failed[:show]:
        sequence = wait_sequences.draw_sequence(outcome.sequence.seed, mix)
        shortest = wait_sequences.shorten(sequence)
        click.echo(f"red: {restart_sequences.play(shortest).describe()}")
    listed = [each.sequence.seed for each in failed[:LISTED_SEEDS]]
    click.echo(f"{seeds} seeds from {first}, {len(failed)} red: {listed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
