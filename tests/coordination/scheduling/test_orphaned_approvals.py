"""Tests of approval requests whose job, queue or answer is gone."""

import random

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_State = _progress.JobState

TERMS = _configuration.ApprovalPolicy(2.0, 0.1, 0.01)

EXECUTORS = 4


def _make_rig() -> cell_rig.CellRig:
    """Returns a rig with two queues that need approvals."""
    ids = [f"e{number}" for number in range(EXECUTORS)]
    rig = cell_rig.CellRig(
        *(build.executor_entry(each) for each in ids),
        queues=(
            build.queue("watch", approval=TERMS),
            build.queue("rollup", approval=TERMS),
        ),
    )
    rig.policy = cell_rig.SimulatedPolicy(
        set(ids), validity_s=2.0, decision_s=0.1, handles_in_turn=True
    )
    rig.run(1)
    return rig


def _submit(
    rig: cell_rig.CellRig, number: int, queue_name: str, *, lasting: bool
) -> str:
    """Submits a job of one step to a queue."""
    queue = rig.scheduler.cell.configuration.find_queue_by_name(queue_name)
    accepted = build.accepted_job(
        build.step_spec(runs_until_cancelled=lasting),
        job_id=f"{number:016x}",
        in_queue=queue,
    )
    rig.submit(accepted)
    return accepted.id


def _configure(
    rig: cell_rig.CellRig, version: int, *, with_policy: bool
) -> None:
    """Applies a configuration that may lack the policy of one queue."""
    rig.scheduler.set_configuration(
        build.configuration(
            build.queue("watch", approval=TERMS if with_policy else None),
            build.queue("rollup", approval=TERMS),
            version=version,
        )
    )


class TestQueueWithoutPolicy:
    """Requests end though their queue needs no approvals any more."""

    def test_requests_of_a_queue_without_a_policy_do_not_block_others(
        self,
    ) -> None:
        """Guards against answered requests that count as in flight for ever."""
        rig = _make_rig()
        assert rig.policy is not None
        rig.policy.decision_s = 1.0
        for number in range(3):
            _submit(rig, number, "watch", lasting=True)
        rig.run(0.2)
        assert len(rig.decisions) == 2
        _configure(rig, 2, with_policy=False)
        rig.run(2)
        rig.policy.decision_s = 0.1
        job_id = _submit(rig, 9, "rollup", lasting=False)
        rig.run(3)
        assert rig.scheduler.visible_state(job_id) is _State.COMPLETED
        assert rig.scheduler.cell.approvals.calls_in_flight == 0


class TestLostAnswers:
    """A request ends by its own time limit."""

    def test_requests_without_any_answer_do_not_block_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests of which no end is ever reported."""
        rig = _make_rig()
        requests: list[_orders.ApprovalOrder] = []
        with monkeypatch.context() as patch:
            patch.setattr(rig, "_queue_approval_request", requests.append)
            job_ids = [
                _submit(rig, number, "rollup", lasting=False)
                for number in range(2)
            ]
            rig.run(0.1)
        assert len(requests) == 2
        rig.run(max(each.timeout_s for each in requests) + 5)
        for job_id in job_ids:
            assert rig.scheduler.visible_state(job_id) is _State.COMPLETED

    @pytest.mark.parametrize("seed", range(20))
    def test_no_request_stays_in_flight_after_random_changes(
        self, seed: int
    ) -> None:
        """Guards against counts that only an answer in order empties."""
        rng = random.Random(seed)
        rig = _make_rig()
        assert rig.policy is not None
        jobs = []
        for number in range(40):
            change = rng.randrange(6)
            if change <= 1:
                name = rng.choice(["watch", "rollup"])
                lasting = rng.random() < 0.3
                jobs.append(_submit(rig, number, name, lasting=lasting))
            elif change == 2 and jobs:
                rig.cancel(rng.choice(jobs))
            elif change == 3:
                _configure(rig, number + 2, with_policy=rng.random() < 0.5)
            elif change == 4:
                rig.policy.is_up = rng.random() < 0.7
            elif rig.decisions:
                del rig.decisions[rng.randrange(len(rig.decisions))]
            rig.run(rng.choice([0.02, 0.1, 0.5]))
        rig.policy.is_up = True
        for job_id in jobs:
            rig.cancel(job_id)
        rig.run(5)
        job_id = _submit(rig, 99, "rollup", lasting=False)
        rig.run(3)
        assert rig.scheduler.visible_state(job_id) is _State.COMPLETED
        assert rig.scheduler.cell.approvals.calls_in_flight == 0
