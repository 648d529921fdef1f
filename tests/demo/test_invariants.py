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

_EVICTION_END = build.end(state="stopped", checkpoint="c1")

_VIOLATIONS: dict[str, ViolationCase] = {
    "ninth slot": (
        _invariants.find_capacity_violations,
        {"executor_events": (build.begin(slots_in_use=9),)},
    ),
    "connection too many": (
        _invariants.find_capacity_violations,
        {"executor_events": (build.begin(connections_in_use=65),)},
    ),
    "request given to a full executor": (
        _invariants.find_capacity_violations,
        {"executor_events": (build.begin(event="refused", reason="slots"),)},
    ),
    "cores over-committed": (
        _invariants.find_capacity_violations,
        {"worker_events": (build.start(millicores_in_use=32_001),)},
    ),
    "memory over-committed": (
        _invariants.find_capacity_violations,
        {"worker_events": (build.start(memory_mib_in_use=128_001),)},
    ),
    "accelerator over-committed": (
        _invariants.find_capacity_violations,
        {"worker_events": (build.start(accelerators_in_use=1),)},
    ),
    "task given to a full worker": (
        _invariants.find_capacity_violations,
        {"worker_events": (build.start(event="refused", reason="no room"),)},
    ),
    "task on two workers": (
        _task_checks.find_concurrent_runs,
        {
            "worker_events": (
                build.start(),
                build.start(worker="w2", attempt=2, wall_s=10.5),
            )
        },
    ),
    "task run again after completing": (
        _task_checks.find_concurrent_runs,
        {
            "worker_events": (
                build.start(),
                build.end(),
                build.start(attempt=2, wall_s=12.0),
            )
        },
    ),
    "attempt started twice": (
        _task_checks.find_wrong_resumes,
        {
            "worker_events": (
                build.start(),
                build.end(state="lapsed"),
                build.start(worker="w2", wall_s=12.0),
            )
        },
    ),
    "checkpoint forgotten": (
        _task_checks.find_wrong_resumes,
        {
            "worker_events": (
                build.start(),
                _EVICTION_END,
                build.start(attempt=2, wall_s=12.0),
            )
        },
    ),
    "checkpoint of another task": (
        _task_checks.find_wrong_resumes,
        {
            "worker_events": (
                build.start(),
                build.end(state="lapsed"),
                build.start(attempt=2, wall_s=12.0, resumed_from="other"),
            )
        },
    ),
    "torn answer": (
        _invariants.find_corrupt_answers,
        {"answers": (build.answer(is_intact=False),)},
    ),
    "ran though said not to": (
        _invariants.find_false_not_run_answers,
        {"answers": (build.not_run(),), "executor_events": (build.begin(),)},
    ),
    "ran after the first try was refused": (
        _invariants.find_false_not_run_answers,
        {
            "answers": (build.not_run(), build.answer(sent_wall_s=10.1)),
            "executor_events": (build.begin(),),
        },
    ),
    "charge run twice": (
        _invariants.find_repeated_non_idempotent_runs,
        {
            "answers": (build.answer(idempotent=False),),
            "executor_events": (build.begin(), build.begin(executor="e2")),
        },
    ),
    "key run twice": (
        _invariants.find_repeated_non_idempotent_runs,
        {
            "executor_events": (
                build.begin(idempotency_key="k"),
                build.begin(idempotency_key="k", digest="d2"),
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
            "executor_events": (build.begin(),),
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
            "worker_events": (build.start(),),
        },
    ),
    "request cut by a shutdown": (
        _invariants.find_leaving_violations,
        {
            "ends": (build.instance_end(),),
            "answers": (build.answer(outcome=_CUT),),
        },
    ),
    "request taken while leaving": (
        _invariants.find_leaving_violations,
        {
            "ends": (build.instance_end(wall_s=6.0),),
            "answers": (build.answer(),),
        },
    ),
    "shutdown that had to be killed": (
        _invariants.find_leaving_violations,
        {"ends": (build.instance_end(exit_code=None),)},
    ),
    "version late": (
        _invariants.find_contract_version_violations,
        {
            "accepted_versions": (build.version(2, 10.0),),
            "observed_versions": (build.version(1, 15.1),),
        },
    ),
    "version accepted from two operators": (
        _invariants.find_contract_version_violations,
        {"accepted_versions": (build.version(2, 10.0), build.version(2, 10.1))},
    ),
    "version goes down": (
        _invariants.find_contract_version_violations,
        {"observed_versions": (build.version(2, 10.0), build.version(1, 11.0))},
    ),
    "version late after an outage": (
        _invariants.find_contract_version_violations,
        {
            "accepted_versions": (build.version(2, 10.0),),
            "observed_versions": (build.version(1, 25.1),),
            "log_outages": ((11.0, 20.0),),
        },
    ),
    "quota exceeded": (
        _invariants.find_customer_isolation_violations,
        {
            "worker_events": tuple(
                build.start(task_id=f"job/{number}") for number in range(3)
            )
        },
    ),
    "request charged to another": (
        _invariants.find_customer_isolation_violations,
        {
            "answers": (build.answer(),),
            "executor_events": (build.begin(customer="signalwise"),),
        },
    ),
    "task charged to another": (
        _invariants.find_customer_isolation_violations,
        {
            "jobs": (build.job(customer="signalwise"),),
            "worker_events": (build.start(),),
        },
    ),
    "job lost": (
        _invariants.find_customer_isolation_violations,
        {"jobs": (build.job(is_known=False),)},
    ),
    "answer too late": (
        _invariants.find_missing_outcomes,
        {"answers": (build.answer(done_wall_s=13.1),)},
    ),
    "cut without a kill": (
        _invariants.find_missing_outcomes,
        {"answers": (build.answer(outcome=_CUT),)},
    ),
    "cut before the kill": (
        _invariants.find_missing_outcomes,
        {
            "answers": (build.answer(outcome=_CUT),),
            "ends": (build.instance_end(wall_s=10.2, graceful=False),),
        },
    ),
    "late after the pause": (
        _invariants.find_missing_outcomes,
        {
            "answers": (build.answer(done_wall_s=13.1),),
            "pauses": (_evidence.InstancePause("i1", 5.0, 9.0),),
        },
    ),
    "class that is mostly refused": (
        _invariants.find_low_completion_classes,
        {"answers": (build.answer(), build.not_run(digest="d2"))},
    ),
    "class that mostly fails": (
        _invariants.find_low_completion_classes,
        {"answers": (build.answer(status=500),)},
    ),
    "class that is mostly late": (
        _invariants.find_low_completion_classes,
        {"answers": (build.answer(done_wall_s=12.5),)},
    ),
    "no step named": (
        _invariants.find_missing_outcomes,
        {"answers": (build.not_run(step=""),)},
    ),
    "job without an end": (
        _invariants.find_missing_outcomes,
        {"jobs": (build.job(unfinished_task_count=1),)},
    ),
    "task ended without a reason": (
        _invariants.find_missing_outcomes,
        {"jobs": (build.job(ended_without_reason_count=1),)},
    ),
}

_CLEAN_EVIDENCE = build.evidence(
    answers=(
        *(build.answer(digest=f"c{number}") for number in range(40)),
        build.answer(),
        build.not_run(digest="d2"),
        build.answer(digest="d3", idempotent=False),
        build.answer(digest="d4", instance="i2", outcome=_CUT),
        build.answer(digest="d5", instance="i3", done_wall_s=19.0),
    ),
    executor_events=(build.begin(), build.begin(digest="d3")),
    worker_events=(
        build.start(),
        _EVICTION_END,
        build.start(attempt=2, wall_s=12.0, resumed_from="c1", worker="w2"),
        build.end(attempt=2, wall_s=13.0, worker="w2", state="failed"),
        build.start(attempt=3, wall_s=14.0),
        build.end(attempt=3, wall_s=15.0),
    ),
    accepted_versions=(build.version(1, 1.0), build.version(2, 10.0)),
    observed_versions=(build.version(1, 14.0), build.version(2, 15.1)),
    jobs=(build.job(),),
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
            answers=(build.answer(),),
        )
        assert not list(_invariants.find_leaving_violations(evidence))


class TestCleanRun:
    """A run with a kill, a pause, an eviction and a failed task is clean."""

    def test_none_found(self) -> None:
        results = _invariants.check_invariants(_CLEAN_EVIDENCE)
        assert [each.violations for each in results] == [()] * len(
            _invariants.INVARIANTS
        )
