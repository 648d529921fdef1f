"""Tests of batch work around the end of office hours."""

import datetime as dt
import zoneinfo

from basiljunction.state import _job
from basiljunction.state import _records
import batch_rig
import builders

_AUCKLAND = zoneinfo.ZoneInfo("Pacific/Auckland")
_Phase = _job.TaskPhase
DAY_TASK_ID = "job-1/day"


def _make_rig(hour: int, minute: int, *, day: int = 4) -> batch_rig.Rig:
    """Returns a rig started at a local time, with work in hours only."""
    coding = batch_rig.batch_class("coding", outside_hours=False)
    local = dt.datetime(2026, 12, day, hour, minute, tzinfo=_AUCKLAND)
    return batch_rig.Rig(
        contract=builders.contract(class_by_name={"coding": coding}),
        wall_s=local.timestamp(),
    )


def _count_running_tasks(rig: batch_rig.Rig) -> int:
    """Counts the tasks that run on all workers."""
    now_s = rig.clock.now().boot_s
    workers = rig.worker_by_name.values()
    return sum(len(worker.list_running(now_s)) for worker in workers)


class TestClosing:
    """No task runs outside the hours, and its progress is kept."""

    def test_long_task_is_saved_and_goes_on_next_day(self) -> None:
        rig = _make_rig(17, 30, day=3)
        spec = builders.task_spec("day", run_time_s=3600.0)
        rig.submit(builders.job("job-1", spec))
        rig.run(1795, step_s=1.0)
        assert _count_running_tasks(rig) == 0
        entry = rig.log.state.task_by_id[DAY_TASK_ID]
        assert entry.progress_s > 1700
        rig.run(14 * 3600 + 10, step_s=60.0)
        assert rig.list_starts(DAY_TASK_ID)[1] == (2, entry.checkpoint)
        rig.run(1950, step_s=1.0)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED
        assert len(rig.list_starts(DAY_TASK_ID)) == 2

    def test_nothing_runs_past_closing_without_a_checkpoint(self) -> None:
        rig = _make_rig(17, 50)
        spec = builders.task_spec("day", run_time_s=3600.0)
        rig.submit(builders.job("job-1", spec))
        rig.run(500, step_s=1.0)
        worker = rig.find_worker_running(DAY_TASK_ID)
        worker.refuse_checkpoints = True
        rig.run(99, step_s=1.0)
        assert _count_running_tasks(rig) == 0

    def test_short_task_still_starts_and_ends(self) -> None:
        rig = _make_rig(17, 57)
        rig.submit(builders.job("job-1"))
        rig.run(100, step_s=0.5)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED

    def test_what_gets_nothing_done_does_not_start(self) -> None:
        rig = _make_rig(17, 57)
        spec = builders.task_spec("day", run_time_s=3600.0)
        rig.submit(builders.job("job-1", spec))
        rig.run(170, step_s=1.0)
        assert rig.list_starts(DAY_TASK_ID) == []

    def test_clock_jump_past_closing_evicts(self) -> None:
        rig = _make_rig(12, 0)
        spec = builders.task_spec("day", run_time_s=36000.0)
        rig.submit(builders.job("job-1", spec))
        rig.run(60)
        rig.clock.jump_wall(7 * 3600)
        rig.run(10)
        assert _count_running_tasks(rig) == 0


class TestAmendment:
    """An amended contract applies to tasks that already run."""

    def test_shorter_hours_evict(self) -> None:
        rig = _make_rig(12, 0)
        spec = builders.task_spec("day", run_time_s=36000.0)
        rig.submit(builders.job("job-1", spec))
        rig.run(60)
        contract = rig.log.state.contract_by_customer["kowhai"].contract
        rig.submit_record(
            _records.ContractPublished(
                contract=builders.contract(
                    version=2,
                    hours=builders.office_hours(days=()),
                    class_by_name=contract.class_by_name,
                ),
                base_version=1,
                operator="ana",
                publish_id="publish-2",
            )
        )
        rig.run(10)
        assert _count_running_tasks(rig) == 0
