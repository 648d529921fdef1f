"""Finds in a scheduler's log where its tasks spent their time."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
from typing import Annotated

import pydantic

RESULT_UNKNOWN = "unknown"
"""Result in the log of a start order that got no clear answer."""

END_DONE = "done"
"""Word in the log for a run that ended with success."""

PHASE_ORDERED = "ordered"
"""Phase in the log of a run whose start order is not answered yet."""

PHASE_UNSETTLED = "unsettled"
"""Phase in the log of a run whose start order got no clear answer."""

WAIT_EVENTS = frozenset({"executor.wait-expired", "recovery.waiting"})
"""Events that say that tasks wait for executors with runs of earlier terms."""

STOP_EVENTS = frozenset(
    {
        "task.evacuated",
        "task.moved",
        "task.preempted",
        "task.stalled",
        "task.unsettled",
    }
)
"""Events that say that the scheduler begins to stop a run."""


MAX_SECONDS = 30 * 86_400.0
"""Longest time that a line is believed, in seconds; far above the time for
which a job is known."""

_Seconds = Annotated[
    float, pydantic.Field(ge=0.0, le=MAX_SECONDS, allow_inf_nan=False)
]


class LogLine(pydantic.BaseModel):
    """The fields of a line of the log that tell where tasks spent their time.

    Attributes:
        event: Name of the event.
        timestamp: Time at which it was logged.
        epoch: Epoch of the scheduler's term; 0 if the line has none.
        job: Id of the job; empty if the line has none.
        task: Id of the task; empty if the line has none.
        run: Number of the run; 0 if the line has none.
        waited_s: Time since the task could start, in seconds.
        silent_s: Time since the executor's last answer, in seconds.
        result: Result of a start order.
        how: How a run ended.
        phase: Phase that a run was in.
        free: Whether no other run of the task was known at the adoption.
        awaited: Number of executors that may have runs of an earlier term.
        waiting_tasks: Number of tasks that wait.
        runs: Number of runs.
        executors: Number of executors that the scheduler knows.
        usable: Number of executors that it places tasks on.
        booked_share: Share of the capacity that is booked, 0 to 1.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")

    event: str
    timestamp: pydantic.AwareDatetime
    epoch: int = 0
    job: str = ""
    task: str = ""
    run: int = 0
    waited_s: _Seconds = 0.0
    silent_s: _Seconds = 0.0
    result: str = ""
    how: str = ""
    phase: str = ""
    free: bool = False
    awaited: int = 0
    waiting_tasks: int = 0
    runs: int = 0
    executors: int = 0
    usable: int = 0
    booked_share: float = 0.0

    @property
    def at_s(self) -> float:
        """Time of the line in seconds since 1970."""
        return self.timestamp.timestamp()

    @property
    def task_id(self) -> str:
        """Id of the task, in the one form that all events have in common."""
        return self.task.replace("/", ".")


class State(enum.Enum):
    """What a task that is not done spends its time on.

    Attributes:
        WAITING: It could start, and has no room.
        SUSPECT: It could start, but waits to run apart from other tasks since
            it may have crashed an executor.
        UNANSWERED: The order to start it was sent and is not answered.
        UNSETTLED: That order was given up; nobody knows whether it was done.
        STOPPING: Its run is being stopped.
        SILENT: Its run is lost with an executor that no longer answers, whose
            lease has not ended.
        EARLIER_TERM: Its run of an earlier term may still go on.
        RUNNING: It runs, as far as the log tells.
        RELEASED: It has no run and may not start yet.
    """

    WAITING = "waiting"
    SUSPECT = "suspect"
    UNANSWERED = "unanswered"
    UNSETTLED = "unsettled"
    STOPPING = "stopping"
    SILENT = "silent"
    EARLIER_TERM = "earlier term"
    RUNNING = "running"
    RELEASED = "released"


COUNTED_STATES = tuple(
    each for each in State if each not in (State.RUNNING, State.RELEASED)
)
"""States in which a task makes no progress, in the order of the table."""


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A time that a task spent in one state.

    Attributes:
        state: The state.
        from_s: Its start, in seconds since 1970.
        until_s: Its end, in seconds since 1970.
    """

    state: State
    from_s: float
    until_s: float

    @property
    def length_s(self) -> float:
        """Length in seconds."""
        return self.until_s - self.from_s


@dataclasses.dataclass(slots=True)
class _TaskTrace:
    """What the log has said of a task so far.

    Attributes:
        state: Its state.
        since_s: Start of the state, in seconds since 1970.
        run: Number of the task's current run.
        epoch: Epoch of the newest line about the run.
        is_suspect: Whether it may have crashed an executor since its last
            start.
    """

    state: State
    since_s: float
    run: int
    epoch: int
    is_suspect: bool = False

    def enter(self, state: State, line: LogLine) -> None:
        """Enters a state at the time of a line."""
        self.state = state
        self.since_s = line.at_s
        self.epoch = max(self.epoch, line.epoch)


def parse_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Reads the lines of a log.

    Args:
        texts: The lines, one JSON object each, of one instance or of several
            in any order.

    Returns:
        The lines in the order of their times, and the number of lines that
        can't be read.
    """
    lines = []
    unreadable_count = 0
    for text in texts:
        try:
            lines.append(LogLine.model_validate_json(text))
        except pydantic.ValidationError:
            unreadable_count += 1
    lines.sort(key=lambda line: line.timestamp)
    return lines, unreadable_count


class SpanFinder:
    """Follows the tasks of a log and collects the spans of their states.

    A span is collected once the log tells how it ended; where it doesn't, as
    for a task that still waits in the last line, it is left out.
    """

    def __init__(self) -> None:
        self._trace_by_task: dict[str, _TaskTrace] = {}
        self._queued_epoch_by_job: dict[str, int] = {}
        self._term_began_s_by_epoch: dict[int, float] = {}
        # Until when the tasks of an earlier term had to wait for executors.
        self._awaited_until_s_by_epoch: dict[int, float] = {}
        self._spans: list[Span] = []

    def find_spans(self, lines: Iterable[LogLine]) -> list[Span]:
        """Returns the spans of all tasks of a log, in no certain order."""
        for line in lines:
            if line.event == "term.begun":
                self._term_began_s_by_epoch.setdefault(line.epoch, line.at_s)
            elif line.event == "job.queued":
                self._queued_epoch_by_job.setdefault(line.job, line.epoch)
            elif line.event in WAIT_EVENTS or line.awaited > 0:
                self._awaited_until_s_by_epoch[line.epoch] = line.at_s
            elif line.event.startswith("task.") and line.task:
                self._follow(line)
        return self._spans

    def _collect(self, state: State, from_s: float, until_s: float) -> None:
        """Collects a span unless it is empty or the task made progress."""
        if state in COUNTED_STATES and until_s > from_s:
            self._spans.append(Span(state, from_s, until_s))

    def _follow(self, line: LogLine) -> None:
        """Follows a task through one line."""
        trace = self._trace_by_task.get(line.task_id)
        if line.event == "task.started":
            self._follow_start(trace, line)
            return
        if line.event == "task.adopted" and line.free:
            self._trace_by_task[line.task_id] = _TaskTrace(
                State.RUNNING, line.at_s, line.run, line.epoch
            )
            return
        if trace is None:
            return
        if line.event == "task.crash-recorded":
            trace.is_suspect = True
            return
        if line.event == "task.ended" and line.how == END_DONE:
            del self._trace_by_task[line.task_id]
            return
        if line.run == trace.run:
            self._follow_run(trace, line)

    def _follow_start(self, trace: _TaskTrace | None, line: LogLine) -> None:
        """Ends the state before a start and the wait for it."""
        ready_s = line.at_s - line.waited_s
        is_suspect = False
        if trace is None:
            job_id = line.task_id.split(".")[0]
            epoch = self._queued_epoch_by_job.get(job_id, line.epoch)
        else:
            epoch = trace.epoch
            is_suspect = trace.is_suspect
            ready_s = max(ready_s, trace.since_s)
            self._end_before_start(trace, line, ready_s)
        if line.epoch > epoch:
            awaited_until_s = self._awaited_until_s_by_epoch.get(line.epoch)
            if awaited_until_s is not None and awaited_until_s <= line.at_s:
                self._collect(State.EARLIER_TERM, ready_s, awaited_until_s)
                ready_s = max(ready_s, awaited_until_s)
        self._collect(
            State.SUSPECT if is_suspect else State.WAITING, ready_s, line.at_s
        )
        self._trace_by_task[line.task_id] = _TaskTrace(
            State.RUNNING, line.at_s, line.run, line.epoch
        )

    def _end_before_start(
        self, trace: _TaskTrace, line: LogLine, ready_s: float
    ) -> None:
        """Collects the state that a task was in until it could start."""
        began_s = self._term_began_s_by_epoch.get(line.epoch)
        if line.epoch <= trace.epoch or began_s is None:
            self._collect(trace.state, trace.since_s, ready_s)
            return
        # The new scheduler had to find out what became of the run.
        began_s = max(began_s, trace.since_s)
        self._collect(trace.state, trace.since_s, began_s)
        if trace.state is not State.RELEASED:
            self._collect(State.EARLIER_TERM, began_s, ready_s)

    def _follow_run(self, trace: _TaskTrace, line: LogLine) -> None:
        """Follows a task through a line about its current run."""
        if line.event in STOP_EVENTS:
            # A run that is stopped for another reason was found running, at a
            # time that the log doesn't tell.
            if line.event == "task.unsettled":
                self._collect(trace.state, trace.since_s, line.at_s)
            if trace.state is not State.STOPPING:
                trace.enter(State.STOPPING, line)
        elif line.event == "task.not-started":
            if trace.state is State.RUNNING:
                self._collect(State.UNANSWERED, trace.since_s, line.at_s)
                is_unknown = line.result == RESULT_UNKNOWN
                trace.enter(
                    State.UNSETTLED if is_unknown else State.RELEASED, line
                )
        elif line.event == "task.lapsed":
            self._end_lapsed(trace, line)
            trace.enter(State.RELEASED, line)
        elif line.event in ("task.ended", "task.superseded"):
            if trace.state is State.STOPPING:
                self._collect(trace.state, trace.since_s, line.at_s)
            trace.enter(State.RELEASED, line)
        elif line.event == "task.life-ended":
            self._end_with_incarnation(trace, line)

    def _end_with_incarnation(self, trace: _TaskTrace, line: LogLine) -> None:
        """Collects the state of a task whose executor has restarted."""
        if trace.state is State.STOPPING or line.phase == PHASE_UNSETTLED:
            self._collect(trace.state, trace.since_s, line.at_s)
        elif line.phase == PHASE_ORDERED:
            self._collect(State.UNANSWERED, trace.since_s, line.at_s)
        is_stopped = line.phase in (PHASE_ORDERED, PHASE_UNSETTLED)
        trace.enter(State.STOPPING if is_stopped else State.RELEASED, line)

    def _end_lapsed(self, trace: _TaskTrace, line: LogLine) -> None:
        """Collects the state of a task whose executor's lease has ended."""
        silent_from_s = line.at_s - line.silent_s
        if trace.state is State.RUNNING or (
            # The executor's last answer showed that the run went on.
            trace.state is State.UNSETTLED and silent_from_s > trace.since_s
        ):
            self._collect(
                State.SILENT, max(trace.since_s, silent_from_s), line.at_s
            )
        else:
            self._collect(trace.state, trace.since_s, line.at_s)


def split_by_window(
    span: Span, window_s: float
) -> Iterator[tuple[float, float]]:
    """Splits a span at the borders of windows of a length.

    Yields:
        The start of a window, in seconds since 1970, and how much of the span
        lies in it, in seconds.
    """
    start_s = span.from_s // window_s * window_s
    while start_s < span.until_s:
        end_s = start_s + window_s
        yield start_s, min(end_s, span.until_s) - max(start_s, span.from_s)
        start_s = end_s


def find_terms(lines: Iterable[LogLine]) -> list[Span]:
    """Returns the times in which a scheduler worked, one for each term.

    A term lasts from the end of its recovery to its last line before the next
    one begins, as a scheduler that dies logs no end.
    """
    span_by_epoch: dict[int, Span] = {}
    newest_epoch = 0
    for line in lines:
        if line.event == "term.begun":
            newest_epoch = max(newest_epoch, line.epoch)
        elif line.event == "term.recovered":
            span_by_epoch[line.epoch] = Span(
                State.RUNNING, line.at_s, line.at_s
            )
        elif (
            line.epoch >= newest_epoch
            and line.epoch in span_by_epoch
            and line.event != "term.seen"
        ):
            span_by_epoch[line.epoch] = dataclasses.replace(
                span_by_epoch[line.epoch], until_s=line.at_s
            )
    return list(span_by_epoch.values())
