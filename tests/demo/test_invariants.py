"""Tests that each invariant check reports its violations and no others."""

from collections.abc import Callable
from typing import Any

import pytest

from basiljunction.demo import _evidence
from basiljunction.demo import _invariants
from basiljunction.demo import _task_checks
import evidence_builders as build

_CUT = _evidence.RequestOutcome.CUT

# An invariant check and the evidence that violates the invariant.
ViolationCase = tuple[Callable[[_evidence.Evidence], Any], dict[str, Any]]

_EVICTION_END = build.attempt_end(state="stopped", checkpoint="c1")

_VIOLATIONS: dict[str, ViolationCase] = {
    "ninth slot": (
        _invariants.find_capacity_violations,
        {"executor_events": (build.request_begin(slots_in_use=9),)},
    ),
    "connection too many": (
        _invariants.find_capacity_violations,
        {"executor_events": (build.request_begin(connections_in_use=65),)},
    ),
    "request given to a full executor": (
        _invariants.find_capacity_violations,
        {
            "executor_events": (
                build.request_begin(event="refused", reason="slots"),
            )
        },
    ),
    "cores over-committed": (
        _invariants.find_capacity_violations,
        {"worker_events": (build.attempt_start(millicores_in_use=32_001),)},
    ),
    "memory over-committed": (
        _invariants.find_capacity_violations,
        {"worker_events": (build.attempt_start(memory_mib_in_use=128_001),)},
    ),
    "accelerator over-committed": (
        _invariants.find_capacity_violations,
        {"worker_events": (build.attempt_start(accelerators_in_use=1),)},
    ),
    "task given to a full worker": (
        _invariants.find_capacity_violations,
        {
            "worker_events": (
                build.attempt_start(event="refused", reason="no room"),
            )
        },
    ),
    "task on two workers": (
        _task_checks.find_concurrent_runs,
        {
            "worker_events": (
                build.attempt_start(),
                build.attempt_start(worker="w2", attempt=2, wall_s=10.5),
            )
        },
    ),
    "task run again after completing": (
        _task_checks.find_concurrent_runs,
        {
            "worker_events": (
                build.attempt_start(),
                build.attempt_end(),
                build.attempt_start(attempt=2, wall_s=12.0),
            )
        },
    ),
    "attempt started twice": (
        _task_checks.find_wrong_resumes,
        {
            "worker_events": (
                build.attempt_start(),
                build.attempt_end(state="lapsed"),
                build.attempt_start(worker="w2", wall_s=12.0),
            )
        },
    ),
    "checkpoint forgotten": (
        _task_checks.find_wrong_resumes,
        {
            "worker_events": (
                build.attempt_start(),
                _EVICTION_END,
                build.attempt_start(attempt=2, wall_s=12.0),
            )
        },
    ),
    "checkpoint of another task": (
        _task_checks.find_wrong_resumes,
        {
            "worker_events": (
                build.attempt_start(),
                build.attempt_end(state="lapsed"),
                build.attempt_start(
                    attempt=2, wall_s=12.0, resumed_from="other"
                ),
            )
        },
    ),
    "torn answer": (
        _invariants.find_corrupt_answers,
        {"answers": (build.completed_request(is_intact=False),)},
    ),
    "ran though said not to": (
        _invariants.find_false_not_run_answers,
        {
            "answers": (build.refused_request(),),
            "executor_events": (build.request_begin(),),
        },
    ),
    "ran after the first try was refused": (
        _invariants.find_false_not_run_answers,
        {
            "answers": (
                build.refused_request(),
                build.completed_request(sent_wall_s=10.1),
            ),
            "executor_events": (build.request_begin(),),
        },
    ),
    "charge run twice": (
        _invariants.find_repeated_non_idempotent_runs,
        {
            "answers": (build.completed_request(idempotent=False),),
            "executor_events": (
                build.request_begin(),
                build.request_begin(executor="e2"),
            ),
        },
    ),
    "key run twice": (
        _invariants.find_repeated_non_idempotent_runs,
        {
            "executor_events": (
                build.request_begin(idempotency_key="k"),
                build.request_begin(idempotency_key="k", digest="d2"),
            )
        },
    ),
    "request to a leaving executor": (
        _invariants.find_leaving_violations,
        {
            "machines": (
                _evidence.Machine(
                    "w1", "e1", "z", "r", 8, 64, 32_000, 128_000, 0, 7.0
                ),
            ),
            "executor_events": (build.request_begin(),),
        },
    ),
    "task to a leaving worker": (
        _invariants.find_leaving_violations,
        {
            "machines": (
                _evidence.Machine(
                    "w1", "e1", "z", "r", 8, 64, 32_000, 128_000, 0, 6.9
                ),
            ),
            "worker_events": (build.attempt_start(),),
        },
    ),
    "request cut by a shutdown": (
        _invariants.find_leaving_violations,
        {
            "ends": (build.instance_end(),),
            "answers": (build.completed_request(outcome=_CUT),),
        },
    ),
    "request taken while leaving": (
        _invariants.find_leaving_violations,
        {
            "ends": (build.instance_end(wall_s=6.0),),
            "answers": (build.completed_request(),),
        },
    ),
    "shutdown that had to be killed": (
        _invariants.find_leaving_violations,
        {"ends": (build.instance_end(exit_code=None),)},
    ),
    "version late": (
        _invariants.find_contract_version_violations,
        {
            "accepted_versions": (build.contract_version(2, 10.0),),
            "observed_versions": (build.contract_version(1, 15.1),),
        },
    ),
    "version accepted from two operators": (
        _invariants.find_contract_version_violations,
        {
            "accepted_versions": (
                build.contract_version(2, 10.0),
                build.contract_version(2, 10.1),
            )
        },
    ),
    "version goes down": (
        _invariants.find_contract_version_violations,
        {
            "observed_versions": (
                build.contract_version(2, 10.0),
                build.contract_version(1, 11.0),
            )
        },
    ),
    "version late after an outage": (
        _invariants.find_contract_version_violations,
        {
            "accepted_versions": (build.contract_version(2, 10.0),),
            "observed_versions": (build.contract_version(1, 25.1),),
            "log_outages": ((11.0, 20.0),),
        },
    ),
    "quota exceeded": (
        _invariants.find_customer_isolation_violations,
        {
            "worker_events": tuple(
                build.attempt_start(task_id=f"job/{number}")
                for number in range(3)
            )
        },
    ),
    "request charged to another": (
        _invariants.find_customer_isolation_violations,
        {
            "answers": (build.completed_request(),),
            "executor_events": (build.request_begin(customer="signalwise"),),
        },
    ),
    "task charged to another": (
        _invariants.find_customer_isolation_violations,
        {
            "jobs": (build.final_job_status(customer="signalwise"),),
            "worker_events": (build.attempt_start(),),
        },
    ),
    "job lost": (
        _invariants.find_customer_isolation_violations,
        {"jobs": (build.final_job_status(is_known=False),)},
    ),
    "answer too late": (
        _invariants.find_missing_outcomes,
        {"answers": (build.completed_request(done_wall_s=13.1),)},
    ),
    "cut without a kill": (
        _invariants.find_missing_outcomes,
        {"answers": (build.completed_request(outcome=_CUT),)},
    ),
    "cut before the kill": (
        _invariants.find_missing_outcomes,
        {
            "answers": (build.completed_request(outcome=_CUT),),
            "ends": (build.instance_end(wall_s=10.2, graceful=False),),
        },
    ),
    "late after the pause": (
        _invariants.find_missing_outcomes,
        {
            "answers": (build.completed_request(done_wall_s=13.1),),
            "pauses": (_evidence.InstancePause("i1", 5.0, 9.0),),
        },
    ),
    "class that is mostly refused": (
        _invariants.find_low_completion_classes,
        {
            "answers": (
                build.completed_request(),
                build.refused_request(digest="d2"),
            )
        },
    ),
    "class that mostly fails": (
        _invariants.find_low_completion_classes,
        {"answers": (build.completed_request(status=500),)},
    ),
    "class that is mostly late": (
        _invariants.find_low_completion_classes,
        {"answers": (build.completed_request(done_wall_s=12.5),)},
    ),
    "no step named": (
        _invariants.find_missing_outcomes,
        {"answers": (build.refused_request(step=""),)},
    ),
    "job without an end": (
        _invariants.find_missing_outcomes,
        {"jobs": (build.final_job_status(unfinished_task_count=1),)},
    ),
    "task ended without a reason": (
        _invariants.find_missing_outcomes,
        {"jobs": (build.final_job_status(ended_without_reason_count=1),)},
    ),
}

_CLEAN_EVIDENCE = build.evidence(
    answers=(
        *(build.completed_request(digest=f"c{number}") for number in range(40)),
        build.completed_request(),
        build.refused_request(digest="d2"),
        build.completed_request(digest="d3", idempotent=False),
        build.completed_request(digest="d4", instance="i2", outcome=_CUT),
        build.completed_request(digest="d5", instance="i3", done_wall_s=19.0),
    ),
    executor_events=(build.request_begin(), build.request_begin(digest="d3")),
    worker_events=(
        build.attempt_start(),
        _EVICTION_END,
        build.attempt_start(
            attempt=2, wall_s=12.0, resumed_from="c1", worker="w2"
        ),
        build.attempt_end(attempt=2, wall_s=13.0, worker="w2", state="failed"),
        build.attempt_start(attempt=3, wall_s=14.0),
        build.attempt_end(attempt=3, wall_s=15.0),
    ),
    accepted_versions=(
        build.contract_version(1, 1.0),
        build.contract_version(2, 10.0),
    ),
    observed_versions=(
        build.contract_version(1, 14.0),
        build.contract_version(2, 15.1),
    ),
    jobs=(build.final_job_status(),),
    ends=(build.instance_end(instance="i2", graceful=False, exit_code=-9),),
    pauses=(_evidence.InstancePause("i3", 10.0, 18.0),),
)


class TestViolations:
    """Each invariant check detects every listed kind of violation."""

    @pytest.mark.parametrize("name", _VIOLATIONS)
    def test_found(self, name: str) -> None:
        check, changes = _VIOLATIONS[name]
        assert len(list(check(build.evidence(**changes)))) >= 1

    def test_every_invariant_has_a_violation(self) -> None:
        tried = {check for check, _ in _VIOLATIONS.values()}
        assert tried == {each.check for each in _invariants.INVARIANTS}


class TestReplacement:
    """Answers of a replacement are not charged to the instance that left."""

    def test_after_the_exit(self) -> None:
        evidence = build.evidence(
            ends=(build.instance_end(wall_s=5.0, exited_wall_s=9.0),),
            answers=(build.completed_request(),),
        )
        assert not list(_invariants.find_leaving_violations(evidence))


class TestCleanRun:
    """A run with a kill, a pause, an eviction and a failed task is clean."""

    def test_none_found(self) -> None:
        results = _invariants.check_invariants(_CLEAN_EVIDENCE)
        assert [each.violations for each in results] == [()] * len(
            _invariants.INVARIANTS
        )
