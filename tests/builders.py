"""Builders of valid test data; keyword arguments replace single fields."""

import dataclasses
from typing import Any

from basiljunction.state import _contract
from basiljunction.state import _fold
from basiljunction.state import _job
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _verdict

OPERATOR_AUTHOR = "operator-client"
"""Author of records that an operator's client appends."""


def office_hours(**changes: Any) -> _contract.OfficeHours:
    """Returns office hours of 08:00 to 18:00 on weekdays, Auckland time."""
    days = tuple(_contract.WeekdayHours(day, 480, 1080) for day in range(5))
    base = _contract.OfficeHours(time_zone="Pacific/Auckland", days=days)
    return dataclasses.replace(base, **changes)


def work_class(name: str, **changes: Any) -> _contract.WorkClass:
    """Returns an idempotent latency-critical class with a 2 s deadline."""
    base = _contract.WorkClass(
        name=name,
        kind=_contract.WorkKind.LATENCY_CRITICAL,
        idempotent=True,
        deadline_s=2.0,
    )
    return dataclasses.replace(base, **changes)


def contract(**changes: Any) -> _contract.Contract:
    """Returns version 1 of a contract with three classes.

    They are an idempotent and a non-idempotent latency-critical class and
    a batch class.
    """
    classes = (
        work_class("check"),
        work_class("charge", idempotent=False),
        work_class(
            "coding",
            kind=_contract.WorkKind.BATCH,
            deadline_s=3600.0,
            outside_hours=True,
        ),
    )
    base = _contract.Contract(
        customer="kowhai",
        version=1,
        hours=office_hours(),
        class_by_name={each.name: each for each in classes},
        quota=_contract.Quota(64000, 262144, 4, 100),
        request_rate_per_s=100.0,
        request_burst=20,
        concurrency=50,
        credential_hashes=(),
    )
    return dataclasses.replace(base, **changes)


def contract_published(**changes: Any) -> _records.ContractPublished:
    """Returns the record that publishes version 1 of the contract."""
    base = _records.ContractPublished(
        contract=contract(),
        base_version=0,
        operator="ana",
        publish_id="publish-1",
    )
    return dataclasses.replace(base, **changes)


def instance_joined(instance: str, **changes: Any) -> _records.InstanceJoined:
    """Returns the join record of an instance with incarnation 1."""
    base = _records.InstanceJoined(
        instance=instance,
        incarnation=1,
        zone="dunedin",
        group="south",
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
    )
    return dataclasses.replace(base, **changes)


def machine_registered(name: str, **changes: Any) -> _records.MachineRegistered:
    """Returns the record of a 32-core worker with an 8-slot executor."""
    base = _records.MachineRegistered(
        machine=name,
        revision=1,
        group="south",
        zone="dunedin",
        rack="rack-1",
        worker_address=f"http://127.0.0.1:3/{name}",
        executor=f"{name}-executor",
        executor_address=f"http://127.0.0.1:4/{name}",
        slots=8,
        connections=64,
        millicores=32000,
        memory_mib=128000,
        accelerators=0,
    )
    return dataclasses.replace(base, **changes)


def task_spec(name: str, **changes: Any) -> _job.TaskSpec:
    """Returns the specification of a two-core task that runs for 60 s."""
    base = _job.TaskSpec(
        name=name, demand=_job.ResourceDemand(2000, 4096), run_time_s=60.0
    )
    return dataclasses.replace(base, **changes)


def job(job_id: str, *tasks: _job.TaskSpec, **changes: Any) -> _job.Job:
    """Returns a coding job; its default is a single task ``day``."""
    base = _job.Job(
        job_id=job_id,
        customer="kowhai",
        class_name="coding",
        tasks=tasks or (task_spec("day"),),
        submitted_wall_s=1000.0,
    )
    return dataclasses.replace(base, **changes)


def fold_entry(
    state: _system.SystemState, entry: _records.LogEntry
) -> list[_verdict.Verdict]:
    """Folds a log entry into the state and returns its verdicts."""
    return _fold.apply_entry(state, entry)


class LogBuilder:
    """Appends records to a log and folds them, one record per entry.

    Attributes:
        state: State folded from all entries.
        entries: Entries of the log, by offset.
    """

    def __init__(self) -> None:
        """Creates an empty log and state."""
        self.state = _system.SystemState()
        self.entries: list[_records.LogEntry] = []
        self._sequence_by_author: dict[tuple[str, int], int] = {}

    def append(
        self,
        record: _records.Record,
        *,
        author: str = OPERATOR_AUTHOR,
        incarnation: int = 1,
        wall_s: float = 1000.0,
    ) -> _verdict.Verdict:
        """Appends and folds one record and returns its verdict."""
        key = (author, incarnation)
        sequence = self._sequence_by_author.get(key, 0)
        self._sequence_by_author[key] = sequence + 1
        batch = _records.RecordBatch(
            author=_records.Author(author, incarnation),
            first_sequence=sequence,
            wall_s=wall_s,
            records=(record,),
        )
        entry = _records.LogEntry(offset=len(self.entries), batch=batch)
        self.entries.append(entry)
        (verdict,) = _fold.apply_entry(self.state, entry)
        return verdict
