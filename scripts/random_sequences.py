"""Plays random sequences with restarts of executors under their id.

Each seed draws a sequence of faults and plays it in the tests' rig, which
checks the rules of runs at each start. Prints each seed that broke one with
the last steps before it, and how many seeds broke each rule. A seed takes some
50 ms of one processor.
"""

import collections
from concurrent import futures
import functools
import pathlib
import sys
import time

import click

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "tests"))

import cell_rig  # noqa: E402 - the path is set above
import restart_sequences  # noqa: E402 - the path is set above

CHUNK_SIZE = 20
"""Number of seeds that a process takes at a time."""

LISTED_SEEDS = 12
"""Number of seeds that are listed for each kind of failure."""


def _play_seed(
    mix: restart_sequences.Mix, seed: int
) -> restart_sequences.Outcome:
    """Plays the sequence of a seed."""
    return restart_sequences.play(restart_sequences.draw_sequence(seed, mix))


@click.command()
@click.option("--seeds", default=1000, show_default=True)
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--processes", default=1, show_default=True, help="At a time.")
@click.option("--restarts/--no-restarts", default=True, show_default=True)
@click.option(
    "--varied/--plain",
    default=True,
    show_default=True,
    help="With gangs, copies, dependent steps, failures and cancels.",
)
@click.option(
    "--delayed", default=0.1, show_default=True, help="Share of late orders."
)
@click.option(
    "--longest-delay",
    default=cell_rig.LONGEST_DELAY_S,
    show_default=True,
    help="Seconds.",
)
@click.option(
    "--outlive/--no-outlive",
    default=False,
    show_default=True,
    help="Late orders may reach a later incarnation.",
)
@click.option(
    "--checks/--no-checks",
    default=True,
    show_default=True,
    help="Orders reach only the incarnation that the scheduler knows.",
)
@click.option("--refusals/--no-refusals", default=False, show_default=True)
@click.option("--overlaps/--no-overlaps", default=False, show_default=True)
@click.option(
    "--late-confirmed",
    default=0.0,
    show_default=True,
    help="Share of the batches that are confirmed late or never.",
)
@click.option(
    "--series/--no-series",
    default=False,
    show_default=True,
    help="Schedulers end in series, each after 0.4 to 1.2 s.",
)
@click.option(
    "--calm/--no-calm",
    default=False,
    show_default=True,
    help="All faults cease from time to time.",
)
@click.option(
    "--ends-per-answer",
    default=cell_rig.ENDS_PER_ANSWER,
    show_default=True,
    help="Most ends of runs in an answer to a renewal.",
)
@click.option("--show/--brief", default=True, help="Print the last steps.")
def main(
    *,
    seeds: int,
    first: int,
    processes: int,
    restarts: bool,
    varied: bool,
    delayed: float,
    longest_delay: float,
    outlive: bool,
    checks: bool,
    refusals: bool,
    overlaps: bool,
    late_confirmed: float,
    series: bool,
    calm: bool,
    ends_per_answer: int,
    show: bool,
) -> None:
    """Play random sequences; exit with 1 if one breaks a rule."""
    mix = restart_sequences.Mix(
        has_restarts=restarts,
        has_varied_jobs=varied,
        delayed_share=delayed,
        longest_delay_s=longest_delay,
        late_orders_outlive=outlive,
        checks_incarnations=checks,
        has_refusals=refusals,
        has_overlaps=overlaps,
        late_confirmed_share=late_confirmed,
        has_series=series,
        has_calm_spells=calm,
        ends_per_answer=ends_per_answer,
    )
    began_s = time.monotonic()
    start_count = 0
    seeds_by_kind: collections.defaultdict[str, list[int]] = (
        collections.defaultdict(list)
    )
    with futures.ProcessPoolExecutor(processes) as pool:
        for outcome in pool.map(
            functools.partial(_play_seed, mix),
            range(first, first + seeds),
            chunksize=CHUNK_SIZE,
        ):
            start_count += outcome.start_count
            if not outcome.fault:
                continue
            seeds_by_kind[outcome.kind].append(outcome.sequence.seed)
            if show:
                click.echo(f"red: {outcome.describe()}")
    for kind, failed in seeds_by_kind.items():
        listed = ", ".join(str(each) for each in failed[:LISTED_SEEDS])
        click.echo(f"{kind}: {len(failed)} seeds, the first: {listed}")
    failed_count = sum(len(each) for each in seeds_by_kind.values())
    took_s = time.monotonic() - began_s
    click.echo(
        f"{seeds} seeds from {first}, {start_count} starts,"
        f" {failed_count} red, {took_s:.0f} s"
    )
    sys.exit(1 if failed_count else 0)


if __name__ == "__main__":
    main()
