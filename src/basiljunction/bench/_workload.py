"""Generates log entries of a system at design size from a seed."""

from collections.abc import Iterator
import dataclasses
import random

from basiljunction.protocol import _codec
from basiljunction.state import _contract
from basiljunction.state import _fold
from basiljunction.state import _job
from basiljunction.state import _records
from basiljunction.state import _system

CUSTOMER_COUNT = 94
"""Number of customers with a contract."""


RECORDS_PER_ENTRY = 8
"""Records that ``append_in_batches`` puts into one log entry."""

_START_WALL_S = 1_790_000_000.0
"""Wall-clock time of the first entry, in seconds since the epoch."""


@dataclasses.dataclass(slots=True)
class LogWriter:
    """Writes log entries as one instance would, and folds them into a state.

    Attributes:
        author: Name of the instance that appends the entries.
        incarnation: Its incarnation: a number for each run of its process.
        state: State folded from all entries so far.
        payloads: The encoded entries, as the log stores them.
        entries: The same entries, decoded.
        next_sequence: Sequence number of the next record.
    """

    author: str = "entry-1"
    incarnation: int = 1
    state: _system.SystemState = dataclasses.field(
        default_factory=_system.SystemState
    )
    payloads: list[bytes] = dataclasses.field(default_factory=list)
    entries: list[_records.LogEntry] = dataclasses.field(default_factory=list)
    next_sequence: int = 0

    def append(self, *records: _records.Record) -> None:
        """Appends one entry with these records and folds it.

        Raises:
            ValueError: The fold rejected a record.
        """
        batch = _records.RecordBatch(
            _records.Author(self.author, self.incarnation),
            self.next_sequence,
            _START_WALL_S + self.next_sequence / 250.0,
            records,
        )
        self.next_sequence += len(records)
        entry = _records.LogEntry(self.state.next_offset, batch)
        for verdict in _fold.apply_entry(self.state, entry):
            if not verdict.is_accepted:
                raise ValueError(
                    f"{verdict.record}: {verdict.rejection_reason}"
                )
        self.entries.append(entry)
        self.payloads.append(_codec.encode_batch(batch))


def make_contract(customer: str, version: int = 1) -> _contract.Contract:
    """Returns a contract with three latency-critical and two batch classes."""
    days = tuple(_contract.WeekdayHours(day, 480, 1080) for day in range(5))
    names = ("check", "plan", "charge")
    classes = [
        _contract.WorkClass(
            name=name,
            kind=_contract.WorkKind.LATENCY_CRITICAL,
            idempotent=name != "charge",
            deadline_s=2.4,
        )
        for name in names
    ]
    classes += [
        _contract.WorkClass(
            name=name,
            kind=_contract.WorkKind.BATCH,
            idempotent=True,
            deadline_s=36000.0,
            outside_hours=True,
        )
        for name in ("coding", "rollup")
    ]
    return _contract.Contract(
        customer=customer,
        version=version,
        hours=_contract.OfficeHours("Pacific/Auckland", days, "NZ"),
        class_by_name={each.name: each for each in classes},
        quota=_contract.Quota(10**9, 10**9, 10**6, 10**6),
        request_rate_per_s=100.0,
        request_burst=20,
        concurrency=64,
        credential_hashes=("0" * 64,),
    )


def make_machine_registration(index: int) -> _records.MachineRegistered:
    """Returns the registration of a worker machine with one executor."""
    return _records.MachineRegistered(
        machine=f"worker-{index}",
        revision=1,
        group="south",
        zone=f"zone-{index % 5}",
        rack=f"rack-{index // 8}",
        worker_address=f"http://10.0.{index // 250}.{index % 250}:9000",
        executor=f"executor-{index}",
        executor_address=f"http://10.0.{index // 250}.{index % 250}:8000",
        slots=8,
        connections=64,
        millicores=64000,
        memory_mib=256000,
        accelerators=2,
    )


def append_fleet_setup(writer: LogWriter, *, workers: int) -> None:
    """Appends one contract per customer, an instance and its workers.

    The instance is the writer's author; every worker is assigned to it.
    """
    for index in range(CUSTOMER_COUNT):
        writer.append(
            _records.ContractPublished(
                make_contract(f"customer-{index}"), 0, "ana", f"publish-{index}"
            )
        )
    writer.append(
        _records.InstanceJoined(
            writer.author,
            writer.incarnation,
            "zone-0",
            "south",
            "10.0.0.1:7000",
            "10.0.0.1:8080",
        )
    )
    for index in range(workers):
        name = f"worker-{index}"
        writer.append(
            make_machine_registration(index),
            _records.MachineAssigned(
                name, writer.author, writer.incarnation, 0
            ),
        )


def make_job(index: int, tasks: int) -> _job.Job:
    """Returns a batch job with the given number of equal tasks."""
    return _job.Job(
        job_id=f"job-{index}",
        customer=f"customer-{index % CUSTOMER_COUNT}",
        class_name="coding",
        tasks=tuple(
            _job.TaskSpec(
                name=f"day-{number}",
                demand=_job.ResourceDemand(2000, 4096),
                run_time_s=240.0,
                payload=f"s3://diaries/{index}/{number}",
            )
            for number in range(tasks)
        ),
        submitted_wall_s=_START_WALL_S,
    )


def generate_claims(
    first_job: int, jobs: int, tasks: int, *, workers: int, seed: int
) -> Iterator[_records.TaskClaimed]:
    """Yields a claim of the first attempt of each task, by a random worker.

    Args:
        first_job: Index of the first job.
        jobs: Number of jobs.
        tasks: Number of tasks of each job.
        workers: Number of workers to draw from.
        seed: Seed of the draw.
    """
    rng = random.Random(seed)
    for index in range(first_job, first_job + jobs):
        for number in range(tasks):
            task_id = _job.task_id(f"job-{index}", f"day-{number}")
            name = f"worker-{rng.randrange(workers)}"
            yield _records.TaskClaimed(task_id, 1, name, 1)


def append_in_batches(
    writer: LogWriter, records: Iterator[_records.Record]
) -> None:
    """Appends records, up to ``RECORDS_PER_ENTRY`` in each log entry."""
    waiting: list[_records.Record] = []
    for record in records:
        waiting.append(record)
        if len(waiting) == RECORDS_PER_ENTRY:
            writer.append(*waiting)
            waiting = []
    if waiting:
        writer.append(*waiting)


def append_running_jobs(
    writer: LogWriter, *, jobs: int, tasks: int, workers: int, seed: int
) -> None:
    """Appends jobs and a claim of each of their tasks; none completes."""
    for index in range(jobs):
        writer.append(_records.JobSubmitted(make_job(index, tasks)))
    append_in_batches(
        writer, generate_claims(0, jobs, tasks, workers=workers, seed=seed)
    )
