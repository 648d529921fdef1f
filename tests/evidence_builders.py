"""Builders of evidence of a demo run, for tests of the invariants."""

import dataclasses
from typing import Any

from basiljunction.demo import _evidence

MACHINE = _evidence.Machine("w1", "e1", "z", "r", 8, 64, 32_000, 128_000, 0)
SECOND_MACHINE = _evidence.Machine(
    "w2", "e2", "z", "r", 8, 64, 32_000, 128_000, 0
)
QUOTA = _evidence.Quota(4_000, 16_000, 0, 2)


def evidence(**changes: Any) -> _evidence.Evidence:
    """Returns evidence with two idle machines and the quota of a customer."""
    base = _evidence.Evidence(
        machines=(MACHINE, SECOND_MACHINE),
        quota_by_customer={"kowhai": QUOTA},
    )
    return dataclasses.replace(base, **changes)


def completed_request(**changes: Any) -> _evidence.RequestAttempt:
    """Returns a completed attempt of an idempotent request, sent at 10.0."""
    base = _evidence.RequestAttempt(
        customer="kowhai",
        class_name="check",
        instance="i1",
        idempotent=True,
        deadline_s=2.0,
        sent_wall_s=10.0,
        done_wall_s=10.1,
        digest="d1",
        outcome=_evidence.RequestOutcome.COMPLETED,
        status=200,
        is_intact=True,
        step="",
        peer="",
        reason="",
    )
    return dataclasses.replace(base, **changes)


def refused_request(**changes: Any) -> _evidence.RequestAttempt:
    """Returns a request that was not run because the queue was full."""
    refused = completed_request(
        outcome=_evidence.RequestOutcome.NOT_RUN,
        status=503,
        step="admit",
        peer="i1",
        reason="queue",
    )
    return dataclasses.replace(refused, **changes)


def request_begin(**changes: Any) -> _evidence.ExecutorEvent:
    """Returns the executor event that a request began at 10.05."""
    base = _evidence.ExecutorEvent(
        wall_s=10.05,
        executor="e1",
        event="begin",
        reason="",
        slots_in_use=1,
        connections_in_use=1,
        customer="kowhai",
        idempotency_key="",
        digest="d1",
    )
    return dataclasses.replace(base, **changes)


def attempt_start(**changes: Any) -> _evidence.WorkerEvent:
    """Returns the worker event that a task's attempt 1 started at 10.0."""
    base = _evidence.WorkerEvent(
        wall_s=10.0,
        worker="w1",
        event="start",
        reason="",
        task_id="job/day",
        attempt=1,
        customer="kowhai",
        class_name="diary-day-coding",
        state="running",
        resumed_from="",
        checkpoint="",
        millicores=2_000,
        memory_mib=4_000,
        accelerators=0,
        millicores_in_use=2_000,
        memory_mib_in_use=4_000,
        accelerators_in_use=0,
    )
    return dataclasses.replace(base, **changes)


def attempt_end(**changes: Any) -> _evidence.WorkerEvent:
    """Returns the worker event that a task's attempt 1 completed at 11.0."""
    ended = attempt_start(wall_s=11.0, event="end", state="completed")
    return dataclasses.replace(ended, **changes)


def final_job_status(**changes: Any) -> _evidence.FinalJobStatus:
    """Returns the final status of a job whose tasks have all ended."""
    base = _evidence.FinalJobStatus(
        job_id="job",
        customer="kowhai",
        is_known=True,
        unfinished_task_count=0,
        ended_without_reason_count=0,
    )
    return dataclasses.replace(base, **changes)


def contract_version(number: int, wall_s: float) -> _evidence.ContractVersion:
    """Returns the observation of a contract version at instance ``i1``."""
    return _evidence.ContractVersion("i1", "kowhai", number, wall_s)


def instance_end(**changes: Any) -> _evidence.InstanceEnd:
    """Returns a graceful end of an instance that exits 10 s later."""
    base = _evidence.InstanceEnd(
        instance="i1",
        graceful=True,
        wall_s=10.0,
        exited_wall_s=20.0,
        exit_code=0,
    )
    return dataclasses.replace(base, **changes)
