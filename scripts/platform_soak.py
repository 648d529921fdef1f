"""Soaks instances on a stand-in of the platform under many seeds.

Each seed runs real processes through restarts, kills, pauses, signals, new
configurations, executors that leave, crash, restart under their id, lose
connections and carry out orders late, and outages of the store. Prints each
violation with its seed and keeps the logs of seeds that failed. A seed takes
some 40 s and somewhat more than one processor.
"""

from concurrent import futures
import dataclasses
import pathlib
import shutil
import sys
import time

import click

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "tests"))

from soak import run as soak_run  # noqa: E402 - the path is set above

CROWD_INTERVAL = 10
"""One in so many seeds runs many instances."""

CROWD_INSTANCES = 30
"""Number of instances of such a seed; some 45 MB each."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Job:
    """A seed to run, with the folder of its logs."""

    seed: int
    folder: pathlib.Path
    duration_s: float
    is_plain: bool


def _run_seed(job: _Job) -> tuple[_Job, soak_run.Result]:
    """Runs a seed; returns it with its result."""
    shutil.rmtree(job.folder, ignore_errors=True)
    job.folder.mkdir(parents=True)
    is_crowd = job.seed % CROWD_INTERVAL == 0
    result = soak_run.run_seed(
        job.seed,
        job.folder,
        duration_s=job.duration_s,
        instances=CROWD_INSTANCES if is_crowd else None,
        is_plain=job.is_plain,
    )
    if not result.violations:
        shutil.rmtree(job.folder)
    return job, result


@click.command()
@click.option("--seeds", default=50, show_default=True)
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--duration", default=25.0, show_default=True, help="Seconds.")
@click.option("--processes", default=1, show_default=True, help="At a time.")
@click.option(
    "--folder",
    default=ROOT / "out" / "soak",
    type=click.Path(path_type=pathlib.Path),
    help="Folder for the logs of seeds that failed.",
)
@click.option("--plain", is_flag=True, help="Without storms and signals.")
def main(
    *,
    seeds: int,
    first: int,
    duration: float,
    processes: int,
    folder: pathlib.Path,
    plain: bool,
) -> None:
    """Run soaks under many seeds; exit with 1 if one fails."""
    jobs = [
        _Job(seed, folder / f"seed-{seed}", duration, plain)
        for seed in range(first, first + seeds)
    ]
    began_s = time.monotonic()
    failed_count = 0
    with futures.ProcessPoolExecutor(processes) as pool:
        for job, result in pool.map(_run_seed, jobs):
            failed_count += bool(result.violations)
            click.echo(
                f"{'red' if result.violations else 'green'}: seed {job.seed},"
                f" {result.jobs} jobs, {result.starts} starts,"
                f" {result.terms} terms, {result.late_stops} late stops,"
                f" longest tick {result.longest_tick_s:.2f} s"
            )
            for violation in result.violations:
                click.echo(f"  {violation}")
    took_s = time.monotonic() - began_s
    click.echo(
        f"{seeds} seeds from {first}, {failed_count} red, {took_s:.0f} s"
    )
    sys.exit(1 if failed_count else 0)


if __name__ == "__main__":
    main()
