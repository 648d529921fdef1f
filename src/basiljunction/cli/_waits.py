"""The ``waits`` command, which shows where tasks spent their time."""

import collections
from collections.abc import Iterable
import dataclasses
import datetime as dt
import statistics
from typing import TextIO

import click

from basiljunction.cli import _client
from basiljunction.cli import _exit_codes
from basiljunction.cli import _task_spans

DEFAULT_WINDOW_S = 2.0
"""Length of a window of the table unless another is given, in seconds."""

LATE_SHARE = 0.95
"""Share of the spans that are at most as long as the figure for long ones."""


@dataclasses.dataclass(slots=True)
class _Window:
    """What the log tells of one window.

    Attributes:
        started: Number of runs ordered.
        done: Number of runs that ended with success.
        seconds_by_state: Time that tasks spent in each state, in seconds.
        summaries: Summaries that the schedulers logged.
        led_s: Time in which a scheduler worked, in seconds.
    """

    started: int = 0
    done: int = 0
    seconds_by_state: dict[_task_spans.State, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    summaries: list[_task_spans.LogLine] = dataclasses.field(
        default_factory=list
    )
    led_s: float = 0.0

    def mean(self, field: str) -> float:
        """Returns the mean of a field of the summaries; 0 without any."""
        values = [getattr(each, field) for each in self.summaries]
        return statistics.fmean(values) if values else 0.0


@click.command()
@click.argument("log", type=click.File("r", errors="replace"))
@click.option(
    "--window",
    "window_s",
    type=click.FloatRange(min=0.1),
    default=DEFAULT_WINDOW_S,
    show_default=True,
    help="Length of a row's time in seconds.",
)
def waits(log: TextIO, window_s: float) -> None:
    """Show where tasks spent the time in which they made no progress.

    LOG holds lines that schedulers logged, of all instances in any order;
    "-" reads standard input. See docs/operate/where-tasks-wait.md.
    """
    lines, unreadable_count = _task_spans.parse_lines(log)
    if unreadable_count:
        click.echo(f"{unreadable_count} lines can't be read", err=True)
    if not lines:
        _client.exit_with_error(
            _exit_codes.ExitCode.INVALID, "no line of the log can be read"
        )
    spans = _task_spans.SpanFinder().find_spans(lines)
    _print_windows(_fill_windows(lines, spans, window_s))
    click.echo()
    _print_states(spans)


def _fill_windows(
    lines: list[_task_spans.LogLine],
    spans: Iterable[_task_spans.Span],
    window_s: float,
) -> dict[float, _Window]:
    """Returns the windows by their start, in seconds since 1970."""
    windows: dict[float, _Window] = collections.defaultdict(_Window)
    for line in lines:
        window = windows[line.at_s // window_s * window_s]
        if line.event == "task.started":
            window.started += 1
        elif line.event == "task.ended":
            window.done += line.how == _task_spans.END_DONE
        elif line.event == "cell.summary":
            window.summaries.append(line)
    for span in spans:
        for start_s, part_s in _task_spans.split_by_window(span, window_s):
            windows[start_s].seconds_by_state[span.state] += part_s
    for term in _task_spans.find_terms(lines):
        for start_s, part_s in _task_spans.split_by_window(term, window_s):
            windows[start_s].led_s += part_s
    return windows


def _print_windows(windows: dict[float, _Window]) -> None:
    """Prints a row for each window."""
    states = _task_spans.COUNTED_STATES
    names = "".join(f"{each.value:>13}" for each in states)
    click.echo(
        f"{'from':10}{'started':>8}{'done':>7}{names}"
        f"{'queued':>8}{'runs':>6}{'usable':>8}{'of':>6}"
        f"{'booked':>8}{'led s':>7}"
    )
    for start_s, window in sorted(windows.items()):
        start = dt.datetime.fromtimestamp(start_s, dt.UTC)
        seconds = "".join(
            f"{window.seconds_by_state[each]:13.1f}" for each in states
        )
        click.echo(
            f"{start:%H:%M:%S}.{start.microsecond // 100_000}"
            f"{window.started:8}{window.done:7}{seconds}"
            f"{window.mean('waiting_tasks'):8.0f}{window.mean('runs'):6.0f}"
            f"{window.mean('usable'):8.0f}{window.mean('executors'):6.0f}"
            f"{window.mean('booked_share'):8.2f}{window.led_s:7.1f}"
        )


def _print_states(spans: Iterable[_task_spans.Span]) -> None:
    """Prints a row for each state with the lengths of its spans."""
    lengths_by_state = collections.defaultdict(list)
    for span in spans:
        lengths_by_state[span.state].append(span.length_s)
    click.echo(
        f"{'state':13}{'times':>8}{'total s':>10}{'half s':>8}"
        f"{'95 % s':>8}{'most s':>8}"
    )
    for state in _task_spans.COUNTED_STATES:
        lengths = sorted(lengths_by_state[state]) or [0.0]
        late = lengths[int(LATE_SHARE * (len(lengths) - 1))]
        click.echo(
            f"{state.value:13}{len(lengths_by_state[state]):8}"
            f"{sum(lengths):10.1f}{statistics.median(lengths):8.2f}"
            f"{late:8.2f}{lengths[-1]:8.2f}"
        )
