"""Tests of queues whose executors need approval by an external policy."""

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_State = _progress.JobState

# Seconds for which an approval is valid.
VALIDITY_S = 2.0


def _make_queue() -> _configuration.Queue:
    """Returns a queue whose tasks need approved executors."""
    return build.queue(approval=_configuration.ApprovalPolicy(VALIDITY_S))


def _make_rig(executors: int, approved: set[str]) -> cell_rig.CellRig:
    """Returns a rig of executors, of which the policy approves some."""
    rig = cell_rig.CellRig(
        *(build.executor_entry(f"e{number}") for number in range(executors)),
        queues=(_make_queue(),),
    )
    rig.policy = cell_rig.SimulatedPolicy(approved, validity_s=VALIDITY_S)
    rig.run(1)
    return rig


def _policy(rig: cell_rig.CellRig) -> cell_rig.SimulatedPolicy:
    """Returns the simulated policy of a rig."""
    assert rig.policy is not None
    return rig.policy


def _make_job(
    *steps: _job_spec.StepSpec, number: int = 1
) -> _progress.AcceptedJob:
    """Returns a job in the queue that needs approvals."""
    return build.accepted_job(
        *steps, job_id=f"{number:016x}", in_queue=_make_queue()
    )


class TestApprovals:
    """Tasks start only on approved executors and carry the proof."""

    def test_only_approved_executors_are_used(self) -> None:
        rig = _make_rig(6, approved={"e2", "e5"})
        accepted = _make_job(build.step_spec(count=6))
        rig.submit(accepted)
        rig.run(4)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        assert {executor for _, executor, _ in rig.starts} == {"e2", "e5"}
        assert rig.not_approved_count == 0

    def test_a_queue_without_a_policy_asks_nothing(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        rig.submit(build.accepted_job())
        rig.run(2)
        assert rig.decisions == []
        assert rig.starts[0][2].approval == ""

    def test_no_executor_is_asked_about_twice_if_it_is_not_approved(
        self,
    ) -> None:
        rig = _make_rig(4, approved=set())
        rig.submit(_make_job(build.step_spec()))
        rig.run(5)
        asked_executors = [
            e
            for order in _policy(rig).received_requests
            for e in order.executors
        ]
        assert sorted(asked_executors) == ["e0", "e1", "e2", "e3"]
        assert rig.starts == []

    def test_one_question_names_a_bounded_number(self) -> None:
        rig = _make_rig(70, approved={"e69"})
        accepted = _make_job(build.step_spec())
        rig.submit(accepted)
        rig.run(4)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        sizes = [
            len(order.executors) for order in _policy(rig).received_requests
        ]
        assert max(sizes) <= 30
        assert sum(sizes) <= 70

    def test_a_proof_that_ran_out_is_asked_for_again(self) -> None:
        rig = _make_rig(1, approved={"e0"})
        accepted = _make_job(build.step_spec(count=24))
        rig.submit(accepted)
        rig.run(8)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        assert len(_policy(rig).received_requests) > 1
        assert rig.not_approved_count == 0

    def test_a_proof_does_not_outlive_the_executor(self) -> None:
        rig = _make_rig(1, approved={"e0"})
        rig.submit(_make_job(build.step_spec(runs_until_cancelled=True)))
        rig.run(0.5)
        assert len(rig.starts) == 1
        rig.executor_by_id["e0"].restart()
        _policy(rig).expiry_s_by_proof.clear()
        rig.run(4)
        assert len(rig.starts) == 2
        assert rig.not_approved_count == 0

    def test_a_proof_for_the_former_incarnation_is_not_sent_to_the_next(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The executor restarts between the request and its answer."""
        rig = _make_rig(1, approved={"e0"})
        requests: list[_orders.ApprovalOrder] = []
        monkeypatch.setattr(rig, "_queue_approval_request", requests.append)
        rig.submit(_make_job(build.step_spec(runs_until_cancelled=True)))
        rig.run(0.2)
        assert len(requests) == 1
        rig.executor_by_id["e0"].restart()
        rig.run(1)
        state = rig.scheduler.cell.executor_by_id["e0"]
        assert state.started_wall_ms == rig.executor_by_id["e0"].born_ms
        rig.scheduler.handle_approval_answer(
            requests[0],
            {"e0": "for the former incarnation"},
            build.clock_readings_at(rig.now_s),
        )
        rig.run(0.5)
        assert rig.not_approved_count == 0
        assert len(requests) == 2

    def test_a_proof_that_is_not_accepted_is_replaced(self) -> None:
        rig = _make_rig(1, approved={"e0"})
        rig.submit(_make_job(build.step_spec(count=8)))
        rig.run(0.4)
        _policy(rig).expiry_s_by_proof.clear()
        rig.run(4)
        assert rig.not_approved_count >= 1
        assert len(rig.starts) == 8

    def test_an_unknown_need_for_proofs_does_not_flood_executors(
        self,
    ) -> None:
        """Executors receive a new configuration before the scheduler does."""
        rig = cell_rig.CellRig()
        rig.policy = cell_rig.SimulatedPolicy({"e1"})
        rig.run(1)
        rig.submit(build.accepted_job())
        rig.run(2)
        assert 1 <= rig.not_approved_count <= 10

    def test_a_silent_policy_is_asked_again(self) -> None:
        rig = _make_rig(1, approved={"e0"})
        _policy(rig).is_up = False
        accepted = _make_job(build.step_spec())
        rig.submit(accepted)
        rig.run(2)
        assert 3 <= len(_policy(rig).received_requests) <= 8
        _policy(rig).is_up = True
        rig.run(3)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED

    def test_few_questions_wait_at_a_time(self) -> None:
        rig = _make_rig(3, approved={"e0", "e1", "e2"})
        _policy(rig).decision_s = 1.0
        for number in range(10):
            rig.submit(_make_job(build.step_spec(), number=number))
        rig.run(0.5)
        assert len(rig.decisions) == 2

    def test_a_gang_starts_once_enough_are_approved(self) -> None:
        rig = _make_rig(6, approved={"e1", "e3"})
        rig.submit(_make_job(build.step_spec(count=8, gang=True)))
        rig.run(1)
        assert len(rig.starts) == 8
        assert {executor for _, executor, _ in rig.starts} == {"e1", "e3"}

    def test_other_queues_do_not_wait_for_the_policy(self) -> None:
        rig = _make_rig(2, approved={"e0"})
        _policy(rig).decision_s = 60.0
        rig.submit(_make_job(build.step_spec(count=4)))
        rig.run(0.2)
        rig.policy, policy = None, rig.policy
        job_without_approval = build.accepted_job(job_id="00000000000000b2")
        rig.submit(job_without_approval)
        rig.run(2)
        rig.policy = policy
        assert (
            rig.scheduler.visible_state(job_without_approval.id)
            is _State.COMPLETED
        )

    @pytest.mark.parametrize("cancelled", [False, True])
    def test_a_successor_asks_anew(self, cancelled: bool) -> None:
        rig = _make_rig(2, approved={"e1"})
        accepted = _make_job(build.step_spec(count=2))
        rig.submit(accepted)
        rig.run(0.1)
        rig.take_over()
        if cancelled:
            rig.cancel(accepted.id)
        rig.run(4)
        expected = _State.CANCELLED if cancelled else _State.COMPLETED
        assert rig.scheduler.visible_state(accepted.id) is expected
