"""Computes the figures of one run from its evidence."""

import collections
from collections.abc import Iterable
import dataclasses

from hdrh import histogram

from basiljunction.demo import _evidence

MIN_LATENCY_US = 1
"""Smallest latency in the histogram, in microseconds."""

MAX_LATENCY_US = 60_000_000
"""Largest latency in the histogram, in microseconds."""

SIGNIFICANT_DIGITS = 3
"""Precision of the latency histogram, in significant decimal digits."""

US_PER_S = 1_000_000
"""Microseconds in one second."""

US_PER_MS = 1_000
"""Microseconds in one millisecond."""

LATENCY_BUCKET_BOUNDS_MS = (
    5, 10, 20, 30, 50, 75, 100, 150, 200, 300, 500, 1000, 2000, 5000,
)  # fmt: skip
"""Inclusive upper bounds of the chart's latency buckets, in milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFigures:
    """Latency and outcomes of the requests of one customer and class.

    Attributes:
        customer: The customer.
        class_name: The latency-critical class.
        count_by_outcome: Number of attempts by outcome.
        p50_ms: Median latency of completed attempts.
        p99_ms: 99th percentile latency of completed attempts.
        max_ms: Longest latency of a completed attempt.
        late_count: Completed attempts that exceeded their deadline.
        buckets: Number of completed attempts in each latency bucket of
            ``LATENCY_BUCKET_BOUNDS_MS``, and last those above all bounds.
    """

    customer: str
    class_name: str
    count_by_outcome: dict[_evidence.RequestOutcome, int]
    p50_ms: float
    p99_ms: float
    max_ms: float
    late_count: int
    buckets: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFigures:
    """Task attempts of one customer and class, from the workers' journals.

    Attributes:
        customer: The customer.
        class_name: The batch class.
        started: Attempts started.
        completed: Attempts that completed their task.
        evicted: Attempts stopped and followed by another attempt.
        stopped: Attempts stopped without a further attempt.
        lapsed: Attempts whose lease expired.
        failed: Attempts that failed.
        running: Attempts still running at the end.
    """

    customer: str
    class_name: str
    started: int
    completed: int
    evicted: int
    stopped: int
    lapsed: int
    failed: int
    running: int


def compute_request_figures(
    answers: Iterable[_evidence.RequestAttempt],
) -> tuple[RequestFigures, ...]:
    """Returns request figures for each customer and class, sorted."""
    by_class: dict[tuple[str, str], list[_evidence.RequestAttempt]] = (
        collections.defaultdict(list)
    )
    for answer in answers:
        by_class[answer.customer, answer.class_name].append(answer)
    return tuple(
        _compute_class_figures(by_class[key]) for key in sorted(by_class)
    )


def _compute_class_figures(
    answers: list[_evidence.RequestAttempt],
) -> RequestFigures:
    """Returns the request figures of one customer and class."""
    latencies = histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    buckets = [0] * (len(LATENCY_BUCKET_BOUNDS_MS) + 1)
    late = 0
    for answer in answers:
        if answer.outcome is not _evidence.RequestOutcome.COMPLETED:
            continue
        took_s = answer.done_wall_s - answer.sent_wall_s
        latencies.record_value(int(took_s * US_PER_S))
        buckets[_bucket_index(took_s * US_PER_S / US_PER_MS)] += 1
        late += took_s > answer.deadline_s
    counts = collections.Counter(each.outcome for each in answers)
    return RequestFigures(
        customer=answers[0].customer,
        class_name=answers[0].class_name,
        count_by_outcome={
            each: counts[each] for each in _evidence.RequestOutcome
        },
        p50_ms=latencies.get_value_at_percentile(50) / US_PER_MS,
        p99_ms=latencies.get_value_at_percentile(99) / US_PER_MS,
        max_ms=latencies.get_value_at_percentile(100) / US_PER_MS,
        late_count=late,
        buckets=tuple(buckets),
    )


def _bucket_index(latency_ms: float) -> int:
    """Returns the index of the bucket that contains a latency."""
    for index, bound_ms in enumerate(LATENCY_BUCKET_BOUNDS_MS):
        if latency_ms <= bound_ms:
            return index
    return len(LATENCY_BUCKET_BOUNDS_MS)


def compute_task_figures(
    events: Iterable[_evidence.WorkerEvent],
) -> tuple[TaskFigures, ...]:
    """Returns task figures for each customer and class, sorted."""
    by_class: dict[tuple[str, str], list[_evidence.WorkerEvent]] = (
        collections.defaultdict(list)
    )
    for event in events:
        if event.event in {"start", "end"}:
            by_class[event.customer, event.class_name].append(event)
    return tuple(
        _compute_class_task_figures(by_class[key]) for key in sorted(by_class)
    )


def _compute_class_task_figures(
    events: list[_evidence.WorkerEvent],
) -> TaskFigures:
    """Returns the task figures of one customer and class."""
    starts = [each for each in events if each.event == "start"]
    ends = [each for each in events if each.event == "end"]
    states = collections.Counter(each.state for each in ends)
    last_attempt_by_task: dict[str, int] = {}
    for each in starts:
        known = last_attempt_by_task.get(each.task_id, 0)
        last_attempt_by_task[each.task_id] = max(known, each.attempt)
    evicted = sum(
        each.state == "stopped"
        and each.attempt < last_attempt_by_task[each.task_id]
        for each in ends
    )
    return TaskFigures(
        customer=events[0].customer,
        class_name=events[0].class_name,
        started=len(starts),
        completed=states["completed"],
        evicted=evicted,
        stopped=states["stopped"] - evicted,
        lapsed=states["lapsed"],
        failed=states["failed"],
        running=len(starts) - len(ends),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceCoverage:
    """How much evidence one run provided to check invariants against.

    Attributes:
        request_attempts: Attempts of requests.
        executor_events: Events in the executors' journals.
        worker_events: Events in the workers' journals.
        resumed_attempts: Task attempts that started from a checkpoint.
        contract_observations: Contract versions read from instances.
        max_slots_in_use: Most slots in use at one executor.
        max_connections_in_use: Most connections in use at one executor.
        max_millicores_in_use: Most cores in use at one worker, in
            thousandths.
        max_memory_mib_in_use: Most memory in use at one worker.
    """

    request_attempts: int
    executor_events: int
    worker_events: int
    resumed_attempts: int
    contract_observations: int
    max_slots_in_use: int
    max_connections_in_use: int
    max_millicores_in_use: int
    max_memory_mib_in_use: int

    def __str__(self) -> str:
        """Returns the coverage as one line of the report."""
        return (
            f"checked {self.request_attempts} request attempts, "
            f"{self.executor_events} executor events, "
            f"{self.worker_events} worker events, "
            f"{self.resumed_attempts} resumed task attempts and "
            f"{self.contract_observations} observations of contract versions; "
            f"at most {self.max_slots_in_use} slots and "
            f"{self.max_connections_in_use} connections at an executor, "
            f"{self.max_millicores_in_use} millicores and "
            f"{self.max_memory_mib_in_use} MiB at a worker"
        )


def compute_coverage(evidence: _evidence.Evidence) -> EvidenceCoverage:
    """Returns how much evidence a run provided."""
    executor_events = evidence.executor_events
    worker_events = evidence.worker_events
    return EvidenceCoverage(
        request_attempts=len(evidence.answers),
        executor_events=len(executor_events),
        worker_events=len(worker_events),
        resumed_attempts=sum(
            each.event == "start" and bool(each.resumed_from)
            for each in worker_events
        ),
        contract_observations=len(evidence.observed_versions),
        max_slots_in_use=max(
            (e.slots_in_use for e in executor_events), default=0
        ),
        max_connections_in_use=max(
            (e.connections_in_use for e in executor_events), default=0
        ),
        max_millicores_in_use=max(
            (e.millicores_in_use for e in worker_events), default=0
        ),
        max_memory_mib_in_use=max(
            (e.memory_mib_in_use for e in worker_events), default=0
        ),
    )
