"""Tests of the command that shows where tasks spent their time."""

import pathlib

from click import testing
import pytest

from basiljunction.cli import _exit_codes
from basiljunction.cli import _main
from basiljunction.cli import _task_spans
import log_builders as build

_State = _task_spans.State

_Times = list[tuple[_State, float, float]]
"""States with their start and end, in seconds since the start of the log."""


def _find_times(*texts: str) -> _Times:
    lines, unreadable_count = _task_spans.parse_lines(texts)
    assert unreadable_count == 0
    spans = _task_spans.SpanFinder().find_spans(lines)
    zero_s = build.START.timestamp()
    return sorted(
        (
            (
                each.state,
                round(each.from_s - zero_s, 3),
                round(each.until_s - zero_s, 3),
            )
            for each in spans
        ),
        key=lambda each: each[1],
    )


class TestOrdersWithoutAnswer:
    """The time that a lost order costs is not taken for work or waiting."""

    def test_a_lost_start_is_taken_for_a_run(self) -> None:
        assert _find_times(
            build.started(1.0, 7, waited_s=0.5),
            build.not_started(5.0, 7),
            build.of_run(6.0, "task.unsettled", 7),
            build.started(8.0, 8, waited_s=0.25),
        ) == [
            (_State.WAITING, 0.5, 1.0),
            (_State.UNANSWERED, 1.0, 5.0),
            (_State.UNSETTLED, 5.0, 6.0),
            (_State.STOPPING, 6.0, 7.75),
            (_State.WAITING, 7.75, 8.0),
        ]

    def test_a_start_that_was_found_running_counts_as_unsettled(self) -> None:
        assert _find_times(
            build.started(1.0, 7),
            build.not_started(2.0, 7),
            build.of_run(9.0, "task.ended", 7, how="done"),
        ) == [(_State.UNANSWERED, 1.0, 2.0)]

    def test_a_refused_start_counts_as_unsettled(self) -> None:
        assert _find_times(
            build.started(1.0, 7),
            build.not_started(1.5, 7, result="full"),
            build.started(4.0, 8, waited_s=0.5),
        ) == [(_State.UNANSWERED, 1.0, 1.5), (_State.WAITING, 3.5, 4.0)]

    def test_an_unsettled_run_of_a_restarted_executor_ends_too_early(
        self,
    ) -> None:
        assert _find_times(
            build.started(1.0, 7),
            build.not_started(2.0, 7),
            build.of_run(3.0, "task.life-ended", 7, phase="unsettled"),
            build.started(5.0, 8),
        ) == [
            (_State.UNANSWERED, 1.0, 2.0),
            (_State.UNSETTLED, 2.0, 3.0),
            (_State.STOPPING, 3.0, 5.0),
        ]


class TestLostRuns:
    """The time behind lost, stopped and suspected runs is told apart."""

    def test_the_time_on_a_silent_executor_is_missing(self) -> None:
        assert _find_times(
            build.started(1.0, 7),
            build.of_run(9.0, "task.lapsed", 7, silent_s=5.5),
        ) == [(_State.SILENT, 3.5, 9.0)]

    def test_silence_begins_before_the_run(self) -> None:
        assert _find_times(
            build.started(5.0, 7),
            build.of_run(9.0, "task.lapsed", 7, silent_s=5.5),
        ) == [(_State.SILENT, 5.0, 9.0)]

    def test_a_preempted_run_is_taken_to_end_at_once(self) -> None:
        assert _find_times(
            build.started(1.0, 7),
            build.of_run(4.0, "task.preempted", 7),
            build.of_run(5.0, "task.ended", 7, how="stopped"),
            build.started(9.0, 8, waited_s=4.0),
        ) == [(_State.STOPPING, 4.0, 5.0), (_State.WAITING, 5.0, 9.0)]

    def test_the_wait_of_a_suspect_is_taken_for_lack_of_room(self) -> None:
        assert _find_times(
            build.started(1.0, 7),
            build.of_run(3.0, "task.life-ended", 7, phase="running"),
            build.line(3.0, "task.crash-recorded", task=build.TASK),
            build.started(9.0, 8, waited_s=6.0),
            build.of_run(10.0, "task.ended", 8, how="failed"),
            build.started(12.0, 9, waited_s=1.0),
        ) == [(_State.SUSPECT, 3.0, 9.0), (_State.WAITING, 11.0, 12.0)]

    def test_the_end_of_an_older_run_ends_the_state_of_the_newest(
        self,
    ) -> None:
        assert _find_times(
            build.started(1.0, 7),
            build.of_run(2.0, "task.superseded", 7),
            build.started(2.5, 8, waited_s=0.5),
            build.of_run(3.0, "task.ended", 7, how="stopped"),
            build.not_started(3.5, 8),
            build.of_run(4.0, "task.unsettled", 8),
        ) == [
            (_State.WAITING, 2.0, 2.5),
            (_State.UNANSWERED, 2.5, 3.5),
            (_State.UNSETTLED, 3.5, 4.0),
        ]


class TestEarlierTerms:
    """A wait for executors of an earlier term is not lack of room."""

    def test_a_run_that_the_new_term_does_not_find_is_missing(self) -> None:
        assert _find_times(
            build.started(1.0, 7),
            build.line(3.0, "term.begun", epoch=2),
            build.line(6.0, "recovery.waiting", epoch=2, executors=3),
            build.started(9.0, 8, epoch=2, waited_s=4.0),
        ) == [
            (_State.EARLIER_TERM, 3.0, 5.0),
            (_State.EARLIER_TERM, 5.0, 6.0),
            (_State.WAITING, 6.0, 9.0),
        ]

    def test_a_task_of_an_earlier_term_that_never_ran_is_missing(self) -> None:
        job_id = build.TASK.split("/")[0]
        assert _find_times(
            build.line(1.0, "job.queued", job=job_id),
            build.line(3.0, "term.begun", epoch=2),
            build.line(7.0, "executor.wait-expired", epoch=2),
            build.started(8.0, 8, epoch=2, waited_s=4.0),
        ) == [(_State.EARLIER_TERM, 4.0, 7.0), (_State.WAITING, 7.0, 8.0)]

    def test_an_adopted_run_counts_as_lost(self) -> None:
        assert not _find_times(
            build.started(1.0, 7),
            build.line(3.0, "term.begun", epoch=2),
            build.of_run(4.0, "task.adopted", 7, epoch=2, free=True),
            build.of_run(9.0, "task.ended", 7, epoch=2, how="done"),
        )

    def test_a_dead_scheduler_counts_as_leading(self) -> None:
        lines, _ = _task_spans.parse_lines(
            [
                build.line(1.0, "term.recovered"),
                build.started(4.0, 7),
                build.line(9.0, "term.begun", epoch=2),
                build.line(9.5, "term.recovered", epoch=2),
                build.line(9.75, "task.stalled"),
                build.line(10.0, "cell.summary", epoch=2),
            ]
        )
        lengths_s = [each.length_s for each in _task_spans.find_terms(lines)]
        assert lengths_s == [pytest.approx(3.0), pytest.approx(0.5)]


class TestCommand:
    """`waits` reads the logs of several instances and what surrounds them."""

    def _run(self, path: pathlib.Path, *texts: str) -> testing.Result:
        path.write_text("".join(f"{each}\n" for each in texts), "utf-8")
        return testing.CliRunner().invoke(_main.main, ["waits", str(path)])

    def test_a_long_span_stands_in_one_window(
        self, tmp_path: pathlib.Path
    ) -> None:
        result = self._run(
            tmp_path / "log",
            build.not_started(5.0, 7),
            build.started(1.0, 7),
            build.line(3.0, "cell.summary", usable=55, executors=246, runs=9),
        )
        assert result.exit_code == _exit_codes.ExitCode.OK
        header, *rows = result.output.splitlines()
        column = header.index("unanswered") + len("unanswered")
        assert [row[:10] for row in rows[:3]] == [
            "08:00:00.0",
            "08:00:02.0",
            "08:00:04.0",
        ]
        assert [row[:column].split()[-1] for row in rows[:3]] == [
            "1.0",
            "2.0",
            "1.0",
        ]
        assert "55   246" in rows[1]
        totals = next(row for row in rows if row.startswith("unanswered"))
        assert totals.split() == ["unanswered", "1", "4.0", *["4.00"] * 3]

    def test_a_line_that_is_no_event_hides_the_others(
        self, tmp_path: pathlib.Path
    ) -> None:
        result = self._run(
            tmp_path / "log",
            "panic: half a line {",
            "[1, 2]",
            build.started(1.0, 7, waited_s=-4.0),
            build.started(1.0, 7, waited_s=1e300),
            build.started(1.0, 7, waited_s=float("nan")),
            build.started(1.0, 7, waited_s=0.5),
        )
        assert result.exit_code == _exit_codes.ExitCode.OK
        assert "5 lines can't be read" in result.output
        assert "waiting             1       0.5" in result.output

    def test_a_file_that_is_no_log_gives_an_empty_table(
        self, tmp_path: pathlib.Path
    ) -> None:
        result = self._run(tmp_path / "log", "no log")
        assert result.exit_code == _exit_codes.ExitCode.INVALID
