"""Tests of recording of which jobs a task has begun."""

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_JOB_ID = "00000000000000a1"

_State = _progress.JobState


def _submit_to_refusing_executor() -> cell_rig.CellRig:
    """Returns a rig of one executor that refuses the start of a job."""
    rig = cell_rig.CellRig(build.executor_entry())
    rig.run(1)
    rig.executor_by_id["e1"].refuses_for_capacity = True
    rig.submit(build.accepted_job(job_id=_JOB_ID))
    rig.run(0.5)
    assert rig.executor_by_id["e1"].refused_count > 0
    return rig


class TestWaitingJobs:
    """A job waits until an executor has begun one of its tasks."""

    def test_job_whose_starts_were_refused_is_counted(self) -> None:
        # It was left out from its first start order on, for ever.
        rig = _submit_to_refusing_executor()
        assert rig.scheduler.count_waiting_jobs("episode") == 1
        assert rig.scheduler.visible_state(_JOB_ID) is _State.PENDING

    def test_it_is_not_once_a_start_is_confirmed(self) -> None:
        # It has begun, although the executor has not listed it.
        rig = _submit_to_refusing_executor()
        rig.executor_by_id["e1"].refuses_for_capacity = False
        rig.run_time_s = 5.0
        rig.run(3)
        assert rig.scheduler.count_waiting_jobs("episode") == 0
        assert rig.scheduler.visible_state(_JOB_ID) is _State.RUNNING

    def test_it_is_not_after_a_change_of_schedulers(self) -> None:
        # The next scheduler learns of the run from its listing.
        rig = cell_rig.CellRig(build.executor_entry())
        rig.run(1)
        rig.run_time_s = 30.0
        rig.submit(build.accepted_job(job_id=_JOB_ID))
        rig.run(1)
        rig.take_over()
        rig.run(2)
        assert rig.scheduler.count_waiting_jobs("episode") == 0

    @pytest.mark.parametrize(
        "result",
        [
            _orders.StartResult.UNHEALTHY,
            _orders.StartResult.NOT_SENT,
            _orders.StartResult.TOO_LATE,
        ],
    )
    def test_refusals_of_any_kind_leave_it_counted(
        self,
        result: _orders.StartResult,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        # Each of them had the same effect.
        monkeypatch.setattr(
            cell_rig.SimulatedExecutor, "start", lambda *_: result
        )
        rig = cell_rig.CellRig(build.executor_entry())
        rig.run(1)
        rig.submit(build.accepted_job(job_id=_JOB_ID))
        rig.run(0.5)
        assert rig.scheduler.count_waiting_jobs("episode") == 1
