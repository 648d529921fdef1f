"""Measures the processor time of the job scheduler by number of executors.

The scheduler runs under a virtual clock against simulated executors that carry
out every order at once. The load for each executor is the same at all sizes, so
a cost for each start that grows shows work that depends on the cell's size.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import random
import time

from basiljunction.bench import _report
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.protocol import _job_records
from basiljunction.state import _time
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress

EXECUTOR_COUNTS = (30, 60, 246, 1000)
"""Numbers of executors of the measured cells."""

STEP_S = 0.02
"""Virtual time between two passes, in seconds."""

WARM_UP_S = 2.0
"""Virtual time before the measurement, in seconds: lasting tasks start."""

MEASURED_S = 2.0
"""Virtual time that is measured, in seconds."""

JOBS_PER_S = 0.1
"""Short jobs submitted a second for each executor."""

LASTING_JOBS = 0.12
"""Jobs of lasting tasks for each executor."""

RUN_TIME_S = 1.2
"""Run time of a short task, in seconds."""

_SERVICE = "service"
"""Name of the only service."""

_QUEUE = _configuration.Queue(
    name="queue",
    host="host.example",
    path_prefix="/queue/",
    service=_SERVICE,
    priority=0,
    max_attempts=3,
    stretch=1.5,
    target_latency_s=0.25,
    timeout_s=3.0,
)
"""The only queue."""

_CAPACITY = _job_spec.Resources(32_000, 125_000, 0)
"""Capacity of each executor."""

_SHORT_TASK = _job_spec.Resources(3_500, 7_000, 0)
"""Resources of a short task."""

_LASTING_TASK = _job_spec.Resources(8_000, 16_000, 0)
"""Resources of a task that runs until cancelled."""

_PAYLOAD = "x" * 2_400
"""Payload of each job, as large as callers' jobs usually are."""


class _SimulatedExecutor:
    """An executor that carries out each order and never fails."""

    def __init__(self) -> None:
        self._end_s_by_run: dict[tuple[_job_spec.TaskId, int], float] = {}
        self._ends: list[_executor.EndedRunReport] = []
        self._end_count = 0

    def start(self, order: _orders.StartOrder, now_s: float) -> None:
        """Starts a run; one of a lasting job's tasks never ends."""
        lasts = order.task.job.startswith("lasting")
        end_s = float("inf") if lasts else now_s + RUN_TIME_S
        self._end_s_by_run[order.task, order.run] = end_s

    def stop(self, order: _orders.StopOrder) -> None:
        """Ends a run, if it is active."""
        self._end_run(order.task, order.run, _executor.RunEndKind.STOPPED)

    def has_new_ends(self, acknowledged: int, now_s: float) -> bool:
        """Ends the runs that are done; returns whether an end is to report."""
        for (task, number), end_s in list(self._end_s_by_run.items()):
            if now_s >= end_s:
                self._end_run(task, number, _executor.RunEndKind.DONE)
        self._ends = [
            each for each in self._ends if each.list_position > acknowledged
        ]
        return bool(self._ends)

    def report(self, now_s: float) -> _executor.LeaseRenewalReply:
        """Returns the answer to a renewal of the lease."""
        return _executor.LeaseRenewalReply(
            clock_ms=int(now_s * 1000),
            started_wall_ms=1,
            active_runs=tuple(
                _executor.ActiveRunReport(task, number, "", 100.0, 0.0)
                for task, number in self._end_s_by_run
            ),
            unacknowledged_ends=tuple(self._ends),
        )

    def _end_run(
        self, task: _job_spec.TaskId, number: int, kind: _executor.RunEndKind
    ) -> None:
        """Ends a run, if it is active, and adds the end to the report."""
        if self._end_s_by_run.pop((task, number), None) is None:
            return
        self._end_count += 1
        self._ends.append(
            _executor.EndedRunReport(self._end_count, task, number, kind, "")
        )


@dataclasses.dataclass(slots=True)
class _Costs:
    """Processor time and number of events by kind.

    Attributes:
        seconds_by_kind: Processor time in seconds.
        count_by_kind: Number of events.
    """

    seconds_by_kind: dict[str, float] = dataclasses.field(default_factory=dict)
    count_by_kind: dict[str, int] = dataclasses.field(default_factory=dict)

    @contextlib.contextmanager
    def measure(self, kind: str) -> Iterator[None]:
        """Adds the processor time of the enclosed event to its kind."""
        began_s = time.thread_time()
        yield
        seconds = time.thread_time() - began_s
        self.seconds_by_kind[kind] = (
            self.seconds_by_kind.get(kind, 0.0) + seconds
        )
        self.count_by_kind[kind] = self.count_by_kind.get(kind, 0) + 1


class _Cell:
    """Drives a scheduler with a drawn load."""

    def __init__(self, executor_count: int, seed: int) -> None:
        self.costs = _Costs()
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._job_count = 0
        self._due_jobs = 0.0
        self._held_renewals: list[tuple[float, _orders.RenewalOrder]] = []
        self._jobs_per_s = JOBS_PER_S * executor_count
        self._scheduler = _scheduler.Scheduler(
            epoch=1,
            times=_limits.LeaseTimes(),
            configuration=_configuration.Configuration(
                version=1,
                queues=(_QUEUE,),
                service_by_name={
                    _SERVICE: _configuration.Service(_SERVICE, False, 64)
                },
                max_body_bytes=262_144,
            ),
        )
        entries = [
            _executor.ListedExecutor(
                id=f"executor-{number}",
                service=_SERVICE,
                address="127.0.0.1:1",
                zone="zone",
                is_draining=False,
                capacity=_CAPACITY,
                labels=("kind", f"rack-{number // 8}"),
            )
            for number in range(executor_count)
        ]
        self._executor_by_id = {
            each.id: _SimulatedExecutor() for each in entries
        }
        self._scheduler.set_executors(entries, self._now())
        for number in range(int(LASTING_JOBS * executor_count)):
            step = _job_spec.StepSpec(
                count=6,
                size=_LASTING_TASK,
                estimate_s=0.3,
                runs_until_cancelled=True,
            )
            self._submit(f"lasting-{number}", (step,))

    @property
    def start_count(self) -> int:
        """Number of runs that were started."""
        return self._scheduler.cell.run_counter

    def run_until(self, end_s: float) -> None:
        """Runs passes until a virtual time."""
        while self._now_s < end_s:
            self._now_s += STEP_S
            self._due_jobs += self._jobs_per_s * STEP_S
            while self._due_jobs >= 1.0:
                self._due_jobs -= 1.0
                self._submit_short_job()
            self._run_pass()

    def _now(self) -> _time.Now:
        """Returns the readings of both clocks."""
        return _time.Now(boot_s=self._now_s, wall_s=1e9 + self._now_s)

    def _submit_short_job(self) -> None:
        """Submits a job of two steps whose width is drawn."""
        self._job_count += 1
        width = max(1, round(self._rng.gauss(16, 6)))
        steps = tuple(
            _job_spec.StepSpec(
                count=width,
                size=_SHORT_TASK,
                estimate_s=RUN_TIME_S,
                after=after,
            )
            for after in ((), (0,))
        )
        self._submit(f"short-{self._job_count}", steps)

    def _submit(
        self, job_id: str, steps: tuple[_job_spec.StepSpec, ...]
    ) -> None:
        """Submits a job to the scheduler."""
        accepted = _progress.AcceptedJob(
            id=job_id,
            queue=_QUEUE,
            spec=_job_spec.JobSpec(payload=_PAYLOAD, steps=steps),
            accepted_wall_s=self._now().wall_s,
        )
        with self.costs.measure("submission"):
            self._scheduler.submit_job(accepted, self._now())

    def _run_pass(self) -> None:
        """Runs the timed work, carries out all orders and stores a batch."""
        now = self._now()
        with self.costs.measure("pass"):
            self._scheduler.run_timed_work(now, confirmed_s=self._now_s)
        self._scheduler.take_notes()
        for order in self._scheduler.take_orders():
            self._carry_out(order, now)
        self._answer_renewals(now)
        with self.costs.measure("batch"):
            batch = self._scheduler.take_batch()
            if batch is None:
                return
            for record in batch.records:
                _job_records.encode_record(record)
            self._scheduler.handle_batch_stored(batch, now)

    def _carry_out(self, order: _orders.Order, now: _time.Now) -> None:
        """Carries out an order and passes the answer to the scheduler."""
        if isinstance(order, _orders.ApprovalOrder):
            return
        executor = self._executor_by_id[order.executor]
        if isinstance(order, _orders.StartOrder):
            executor.start(order, self._now_s)
            with self.costs.measure("start answer"):
                self._scheduler.handle_start_answer(
                    order, _orders.StartResult.STARTED, now
                )
        elif isinstance(order, _orders.StopOrder):
            executor.stop(order)
            with self.costs.measure("stop answer"):
                self._scheduler.handle_stop_answer(order, True, now)
        elif isinstance(order, _orders.RenewalOrder):
            due_s = self._now_s + order.wait_ms / 1000
            self._held_renewals.append((due_s, order))

    def _answer_renewals(self, now: _time.Now) -> None:
        """Answers the renewals whose wait is over or that an end concludes."""
        held, self._held_renewals = self._held_renewals, []
        for due_s, order in held:
            executor = self._executor_by_id[order.executor]
            has_ends = executor.has_new_ends(order.acknowledged, self._now_s)
            if self._now_s < due_s and not has_ends:
                self._held_renewals.append((due_s, order))
                continue
            report = executor.report(self._now_s)
            with self.costs.measure("renewal answer"):
                self._scheduler.handle_renewal_answer(order, report, now)


def run(*, runs: int, seed: int) -> _report.Report:
    """Measures processor time for each start and by kind of event."""
    values_by_row: dict[tuple[str, str, str], list[float]] = {}
    for count in EXECUTOR_COUNTS:
        for number in range(runs):
            for metric, unit, value in _measure_cell(count, seed + number):
                key = (f"{count} executors", metric, unit)
                values_by_row.setdefault(key, []).append(value)
    rows = tuple(
        _report.Row(case, metric, unit, tuple(values))
        for (case, metric, unit), values in values_by_row.items()
    )
    return _report.Report("scheduler-cost", seed, rows)


def _measure_cell(
    executor_count: int, seed: int
) -> Iterator[tuple[str, str, float]]:
    """Yields metric, unit and value of each figure of one cell."""
    cell = _Cell(executor_count, seed)
    cell.run_until(WARM_UP_S)
    cell.costs = _Costs()
    started_before = cell.start_count
    cell.run_until(WARM_UP_S + MEASURED_S)
    starts = cell.start_count - started_before
    total_s = sum(cell.costs.seconds_by_kind.values())
    yield "starts", "1/s", starts / MEASURED_S
    yield "processor time for a start", "ms", 1000 * total_s / max(1, starts)
    yield "processor in use", "core", total_s / MEASURED_S
    for kind, seconds in sorted(cell.costs.seconds_by_kind.items()):
        yield f"share of {kind}", "%", 100 * seconds / total_s
