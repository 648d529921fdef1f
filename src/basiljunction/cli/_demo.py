"""The ``demo`` command, which runs both deployments on one machine."""

import pathlib
import signal
import sys
from types import FrameType

import click

from basiljunction.demo import _demo

DEFAULT_SEED = 20261203
"""Seed of the random source if --seed is not given."""

EXIT_INVARIANT_VIOLATED = 1
"""Exit code if the demo found a violated invariant."""

EXIT_INTERRUPTED = 130
"""Exit code after SIGTERM, the shell's code for an interrupted program."""


@click.command()
@click.option(
    "--out",
    default="out/demo",
    show_default=True,
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Folder for the report, and for settings and messages.",
)
@click.option(
    "--examples",
    default="examples",
    show_default=True,
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help="Folder of the examples.",
)
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--seed", default=DEFAULT_SEED, show_default=True)
def demo(
    out: pathlib.Path, examples: pathlib.Path, seconds: float, seed: int
) -> None:
    """Run both deployments on this machine and check invariants.

    Starts stand-ins of the outside systems and eight entry instances for each
    deployment, sends mixed work, kills one instance of each during the run,
    and counts violations from the stand-ins' journals. Exits with 0 only if
    every invariant held, and with 1 if one was violated.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    report = _demo.run(
        examples=examples,
        out=out,
        seconds=seconds,
        seed=seed,
        show=_show_progress,
    )
    _show_progress("")
    click.echo(report.to_text())
    click.echo(f"report and pictures: {out}")
    if not report.all_invariants_held:
        sys.exit(EXIT_INVARIANT_VIOLATED)


def _exit_on_signal(_signal_number: int, _frame: FrameType | None) -> None:
    """Exits on a signal by raising SystemExit, so that clean-up code runs."""
    sys.exit(EXIT_INTERRUPTED)


def _show_progress(line: str) -> None:
    """Replaces the progress line on standard error if it is a terminal."""
    if sys.stderr.isatty():
        click.echo(f"\r\x1b[K{line}", nl=False, err=True)
