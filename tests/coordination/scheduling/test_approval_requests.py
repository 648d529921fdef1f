"""Tests of how many executors a request for approval names, and in what order.

The policy handles one request at a time, and takes longer the more executors a
request names.
"""

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_State = _progress.JobState

EXECUTORS = 30

REFUSED_OCCURRENCES = 60
"""Occurrences for which a policy of these tests refuses all executors."""


def _make_rig(
    terms: _configuration.ApprovalPolicy,
    *,
    approved: set[str] | None = None,
    executors: int = EXECUTORS,
) -> cell_rig.CellRig:
    """Returns a rig whose policy takes the time that its terms tell."""
    ids = [f"e{number}" for number in range(executors)]
    rig = cell_rig.CellRig(
        *(build.executor_entry(each) for each in ids),
        queues=(build.queue(approval=terms),),
    )
    rig.policy = cell_rig.SimulatedPolicy(
        set(ids) if approved is None else approved,
        validity_s=terms.validity_s,
        decision_s=terms.decision_s,
        per_executor_s=terms.per_executor_s,
        handles_in_turn=True,
    )
    rig.run(1)
    return rig


def _submit(
    rig: cell_rig.CellRig, number: int, *steps: _job_spec.StepSpec
) -> str:
    """Submits a job, of one step of two tasks by default."""
    accepted = build.accepted_job(
        *(steps or (build.step_spec(count=2),)),
        job_id=f"{number:016x}",
        in_queue=rig.scheduler.cell.configuration.queues[0],
    )
    rig.submit(accepted)
    return accepted.id


def _completed(rig: cell_rig.CellRig, job_ids: list[str]) -> list[str]:
    """Returns the jobs that are shown as completed."""
    return [
        each
        for each in job_ids
        if rig.scheduler.visible_state(each) is _State.COMPLETED
    ]


class TestAnswersInTime:
    """Approvals arrive while they are valid, and are used."""

    def test_jobs_that_come_at_once_do_not_starve_on_expired_approvals(
        self,
    ) -> None:
        """Guards against requests that wait longer than approvals last."""
        rig = _make_rig(_configuration.ApprovalPolicy(3.0, 0.2, 0.05))
        job_ids = []
        for number in range(12):
            job_ids.append(_submit(rig, number))
            rig.run(0.1)
        rig.run(12)
        assert _completed(rig, job_ids) == job_ids
        assert rig.not_approved_count == 0

    @pytest.mark.parametrize(
        ("validity_s", "per_executor_s"), [(2.5, 0.0834), (10.0, 0.19)]
    )
    def test_one_job_a_second_starts_at_a_slow_policy(
        self, validity_s: float, per_executor_s: float
    ) -> None:
        """Guards against answers later than their validity or their time."""
        terms = _configuration.ApprovalPolicy(validity_s, 0.2, per_executor_s)
        rig = _make_rig(terms)
        job_ids = []
        for number in range(8):
            job_ids.append(_submit(rig, number))
            rig.run(1)
        rig.run(6)
        assert _completed(rig, job_ids) == job_ids

    def test_a_policy_slower_than_its_terms_is_asked_about_fewer(self) -> None:
        """Guards against requests of one size that are always too late."""
        rig = _make_rig(_configuration.ApprovalPolicy(2.0))
        assert rig.policy is not None
        rig.policy.per_executor_s = 0.2
        job_id = _submit(rig, 1, build.step_spec(count=60))
        rig.run(30)
        assert rig.scheduler.visible_state(job_id) is _State.COMPLETED

    def test_few_approved_executors_are_found_soon(self) -> None:
        """Guards against small requests that find an executor late."""
        approved = {f"e{number}" for number in range(0, EXECUTORS, 5)}
        terms = _configuration.ApprovalPolicy(3.0, 0.2, 0.05)
        rig = _make_rig(terms, approved=approved)
        job_ids = [_submit(rig, number) for number in range(10)]
        rig.run(14)
        assert _completed(rig, job_ids) == job_ids

    def test_a_failing_policy_is_not_asked_without_pause(self) -> None:
        """Guards against a retry each 0.2 s from every waiting step."""
        rig = _make_rig(_configuration.ApprovalPolicy(3.0, 0.05, 0.0))
        assert rig.policy is not None
        rig.policy.is_up = False
        job_ids = [_submit(rig, number) for number in range(10)]
        rig.run(10)
        assert len(rig.policy.received_requests) <= 20
        rig.policy.is_up = True
        rig.run(6)
        assert _completed(rig, job_ids) == job_ids


class _StepPolicy(cell_rig.SimulatedPolicy):
    """A policy that refuses all executors for some occurrences."""

    def approve_executors(
        self, order: _orders.ApprovalOrder, now_s: float
    ) -> dict[str, str]:
        """Returns a proof for each approved executor."""
        if order.occurrence < REFUSED_OCCURRENCES:
            return {}
        return super().approve_executors(order, now_s)


class TestRefusedSteps:
    """Steps that the policy refuses do not hold up others."""

    def test_refused_steps_do_not_keep_others_closed(self) -> None:
        """Guards against a job that waits for steps which can never start."""
        rig = _make_rig(_configuration.ApprovalPolicy(3.0), executors=2)
        rig.policy = _StepPolicy({"e0", "e1"}, decision_s=0.02)
        accepted = build.accepted_job(
            repeat_count=REFUSED_OCCURRENCES + 10,
            in_queue=rig.scheduler.cell.configuration.queues[0],
        )
        rig.submit(accepted)
        rig.run(12)
        started = {order.task.occurrence for _, _, order in rig.starts}
        assert len(started) == 10


class TestShares:
    """The steps of one job leave the policy time for those of others."""

    def test_a_job_of_many_steps_does_not_hold_up_a_job_of_one(self) -> None:
        """Guards against forty requests of one job before that of another."""
        rig = _make_rig(_configuration.ApprovalPolicy(3.0, 0.3, 0.05))
        steps = [build.step_spec(estimate_s=0.1)] * 40
        _submit(rig, 1, *steps)
        rig.run(1)
        small = _submit(rig, 2, build.step_spec(count=2, estimate_s=30))
        rig.run(3)
        assert rig.scheduler.visible_state(small) is not _State.PENDING
