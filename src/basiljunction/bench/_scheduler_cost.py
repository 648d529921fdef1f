"""Measures the processor time of the job scheduler by number of executors.

The scheduler runs under a virtual clock against simulated executors that carry
out every order at once. Orders, answers and stored batches are encoded and
decoded as for the users' platform. Sockets, threads and the decoding of
submissions are left out. The load for each executor is the same at all sizes,
so a cost for each start that grows shows work that depends on the cell's size.
Lasting tasks serve and have a tail latency target; two of three short jobs are
fillers, which use the processor time that the serving tasks leave.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import random
import time

from basiljunction.bench import _report
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.platform import _executors
from basiljunction.platform import _store
from basiljunction.protocol import _http_call
from basiljunction.protocol import _job_records
from basiljunction.state import _time
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress

EXECUTOR_COUNTS = (30, 60, 246, 1000)
"""Numbers of executors of the measured cells, if none are given."""

COST_UNIT = "us/start"
"""Unit of the rows of one kind of event, which add up to the whole cost:
microseconds of processor time for each start."""

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

SERVING_IMAGES = 16
"""Images of the lasting tasks."""

FILLER_IMAGES = 30
"""Images of the fillers."""

TAIL_TARGET_MS = 50
"""Tail latency target of the lasting tasks, in milliseconds."""

TAIL_RANGE_MS = (10, 45)
"""Range of the reported tail latencies, in milliseconds; all keep the target,
as fillers that are stopped and start again would not add to the work done."""

RUN_TIME_S = 1.2
"""Run time of a short task, in seconds."""

_ADDRESS = "127.0.0.1:1"
"""Address of each executor in encoded calls, which are not sent."""

_STORE_ADDRESS = "127.0.0.1:2"
"""Address of the store in encoded calls, which are not sent."""

_ORDER_TIMEOUT_S = 1.0
"""Timeout of encoded calls, which are not sent, in seconds."""

_EPOCH = 1
"""Epoch of the scheduler's term."""

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
    """An executor that carries out each order and never fails.

    Args:
        rng: Draws the tail latencies of its lasting tasks.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
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
                _executor.ActiveRunReport(
                    task,
                    number,
                    "",
                    100.0,
                    float(self._rng.randint(*TAIL_RANGE_MS))
                    if task.job.startswith("lasting")
                    else 0.0,
                )
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
    """Processor time by kind of event.

    Attributes:
        seconds_by_kind: Processor time in seconds.
    """

    seconds_by_kind: dict[str, float] = dataclasses.field(default_factory=dict)

    @contextlib.contextmanager
    def measure(self, kind: str) -> Iterator[None]:
        """Adds the processor time of the enclosed event to its kind.

        Args:
            kind: Layer and kind of event, such as ``state: pass``.
        """
        began_s = time.thread_time()
        yield
        seconds = time.thread_time() - began_s
        self.seconds_by_kind[kind] = (
            self.seconds_by_kind.get(kind, 0.0) + seconds
        )


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
            epoch=_EPOCH,
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
                address=_ADDRESS,
                zone="zone",
                is_draining=False,
                capacity=_CAPACITY,
                labels=("kind", f"rack-{number // 8}"),
            )
            for number in range(executor_count)
        ]
        self._executor_by_id = {
            each.id: _SimulatedExecutor(self._rng) for each in entries
        }
        self._scheduler.set_executors(entries, self._now())
        for number in range(int(LASTING_JOBS * executor_count)):
            step = _job_spec.StepSpec(
                count=6,
                size=_LASTING_TASK,
                estimate_s=0.3,
                runs_until_cancelled=True,
                image=f"serving-{number % SERVING_IMAGES}",
                tail_target_ms=TAIL_TARGET_MS,
            )
            self._submit(f"lasting-{number}", (step,))

    @property
    def start_count(self) -> int:
        """Number of runs that were started."""
        return self._scheduler.cell.run_numbers.count

    @property
    def waiting_task_count(self) -> int:
        """Number of tasks that wait for an executor."""
        return sum(
            len(each)
            for job in self._scheduler.cell.job_by_id.values()
            for each in job.waiting_tasks_by_step.values()
        )

    @property
    def open_run_count(self) -> int:
        """Number of runs that have not ended."""
        return sum(
            len(each.run_by_key)
            for each in self._scheduler.cell.executor_by_id.values()
        )

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
        fills = self._job_count % 3 != 0
        image = self._job_count % FILLER_IMAGES
        steps = tuple(
            _job_spec.StepSpec(
                count=width,
                size=_SHORT_TASK,
                estimate_s=RUN_TIME_S,
                after=after,
                fills=fills,
                image=f"filler-{image}" if fills else "",
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
        with self.costs.measure("state: submission"):
            self._scheduler.submit_job(accepted, self._now())

    def _run_pass(self) -> None:
        """Runs the timed work, carries out all orders and stores a batch."""
        now = self._now()
        with self.costs.measure("state: pass"):
            self._scheduler.run_timed_work(
                now, confirmed_s=self._now_s, confirmed_beat=0
            )
        self._scheduler.take_notes()
        for order in self._scheduler.take_orders():
            self._carry_out(order, now)
        self._answer_renewals(now)
        self._store_batch(now)

    def _store_batch(self, now: _time.Now) -> None:
        """Encodes the collected records and reports them as stored."""
        with self.costs.measure("state: batch"):
            batch = self._scheduler.take_batch()
        if batch is None:
            return
        with self.costs.measure("journal: append"):
            records = tuple(
                encoded
                for record in batch.records
                for encoded in _job_records.encode_record(record)
            )
            _store.make_append_call(
                _STORE_ADDRESS, "topic", 0, records, timeout_s=_ORDER_TIMEOUT_S
            )
        with self.costs.measure("state: batch"):
            self._scheduler.handle_batch_stored(batch, now)

    def _carry_out(self, order: _orders.Order, now: _time.Now) -> None:
        """Carries out an order and passes the answer to the scheduler."""
        if isinstance(order, _orders.ApprovalOrder):
            return
        executor = self._executor_by_id[order.executor]
        if isinstance(order, _orders.StartOrder):
            with self.costs.measure("orders: start"):
                _executors.make_start_call(
                    _ADDRESS, _EPOCH, order, timeout_s=_ORDER_TIMEOUT_S
                )
            executor.start(order, self._now_s)
            with self.costs.measure("state: start answer"):
                self._scheduler.handle_start_answer(
                    order, _orders.StartResult.STARTED, now
                )
        elif isinstance(order, _orders.StopOrder):
            with self.costs.measure("orders: stop"):
                _executors.make_stop_call(
                    _ADDRESS, _EPOCH, order, timeout_s=_ORDER_TIMEOUT_S
                )
            executor.stop(order)
            with self.costs.measure("state: stop answer"):
                self._scheduler.handle_stop_answer(order, True, now)
        elif isinstance(order, _orders.RenewalOrder):
            with self.costs.measure("orders: renewal"):
                _executors.make_renewal_call(
                    _ADDRESS, _EPOCH, order, timeout_s=_ORDER_TIMEOUT_S
                )
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
            reply = _http_call.HttpReply(
                200,
                _executors.encode_renewal_reply(executor.report(self._now_s)),
            )
            with self.costs.measure("decoding: renewal answer"):
                report = _executors.parse_renewal_reply(reply)
            with self.costs.measure("state: renewal answer"):
                self._scheduler.handle_renewal_answer(order, report, now)


def run(
    *,
    runs: int,
    seed: int,
    executor_counts: Sequence[int] = EXECUTOR_COUNTS,
) -> _report.Report:
    """Measures processor time for each start and by kind of event.

    Args:
        runs: Number of runs behind each figure.
        seed: Seed of the first run's load; later runs count up from it.
        executor_counts: Numbers of executors of the measured cells.
    """
    values_by_row: dict[tuple[str, str, str], list[float]] = {}
    for count in executor_counts:
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
    yield "waiting tasks at the end", "tasks", cell.waiting_task_count
    yield "open runs at the end", "runs", cell.open_run_count
    yield "processor time for a start", "ms", 1000 * total_s / max(1, starts)
    yield "processor in use", "core", total_s / MEASURED_S
    for kind, seconds in sorted(cell.costs.seconds_by_kind.items()):
        yield kind, COST_UNIT, 1e6 * seconds / max(1, starts)
