"""Tests of the batch core with fake workers and an in-memory log."""

import dataclasses

import pytest

from basiljunction.coordination import _batch_events
from basiljunction.coordination import _events
from basiljunction.state import _job
from basiljunction.state import _records
import batch_rig
import builders

_Phase = _job.TaskPhase
DAY_TASK_ID = "job-1/day"


class TestLife:
    """A task is claimed, started, renewed and recorded once."""

    def test_completes(self) -> None:
        rig = batch_rig.Rig()
        rig.submit(builders.job("job-1"))
        rig.run(120)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED
        assert rig.list_starts(DAY_TASK_ID) == [(1, "")]
        usage = rig.log.state.usage_by_customer["kowhai"]
        assert usage.tasks == 0

    def test_no_claim_without_a_lease(self) -> None:
        rig = batch_rig.Rig()
        rig.instances_without_renewal.add("dunedin-1")
        rig.run(5)
        rig.submit(builders.job("job-1"))
        rig.run(10)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.PENDING

    def test_rollup_waits_for_its_days(self) -> None:
        rig = batch_rig.Rig()
        rollup = builders.task_spec("rollup", after=("day",))
        rig.submit(builders.job("job-1", builders.task_spec("day"), rollup))
        rig.run(30)
        assert rig.task_phase("job-1/rollup") is _Phase.PENDING
        rig.run(150)
        assert rig.task_phase("job-1/rollup") is _Phase.COMPLETED


class TestLostAnswers:
    """A lost answer causes neither a second run nor a lost task."""

    def test_lost_start_is_asked_about(self) -> None:
        rig = batch_rig.Rig(workers=1)
        worker = rig.worker_by_name["worker-0"]
        worker.lose_answers = True
        rig.submit(builders.job("job-1"))
        rig.run(3)
        worker.lose_answers = False
        rig.run(200)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED
        assert rig.list_starts(DAY_TASK_ID) == [(1, "")]

    def test_lost_start_that_a_restart_forgot_is_not_repeated(self) -> None:
        rig = batch_rig.Rig(workers=1)
        worker = rig.worker_by_name["worker-0"]
        worker.lose_answers = True
        rig.submit(builders.job("job-1"))
        rig.run(3)
        assert rig.list_starts(DAY_TASK_ID) == [(1, "")]
        worker.restart()
        worker.lose_answers = False
        rig.run(200)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED
        assert [number for number, _ in rig.list_starts(DAY_TASK_ID)] == [1, 2]

    def test_lost_starts_that_one_list_answers_do_not_get_stuck(self) -> None:
        rig = batch_rig.Rig(workers=1)
        worker = rig.worker_by_name["worker-0"]
        worker.lose_answers = True
        for number in range(2):
            spec = builders.task_spec("day", run_time_s=60.0)
            rig.submit(builders.job(f"job-{number}", spec))
        rig.run(0.25)
        worker.lose_answers = False
        rig.run(1.0)
        worker.restart()
        rig.run(400)
        for number in range(2):
            phase = rig.task_phase(f"job-{number}/day")
            assert phase is _Phase.COMPLETED

    def test_lost_stop_is_repeated(self) -> None:
        rig = batch_rig.Rig(workers=1)
        rig.submit(builders.job("job-1"))
        rig.run(5)
        worker = rig.worker_by_name["worker-0"]
        worker.lose_answers = True
        rig.submit_record(_records.JobCancelled("job-1", "kowhai"))
        rig.run(3)
        worker.lose_answers = False
        rig.run(10)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.ENDED
        assert worker.list_running(rig.clock.now().boot_s) == []

    def test_dead_worker_frees_its_task_only_after_the_lease(self) -> None:
        rig = batch_rig.Rig()
        rig.submit(builders.job("job-1"))
        rig.run(5)
        worker = rig.find_worker_running(DAY_TASK_ID)
        worker.down = True
        rig.run(25)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.CLAIMED
        rig.run(200)
        assert [number for number, _ in rig.list_starts(DAY_TASK_ID)] == [1, 2]
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED

    def test_restarted_worker_runs_nothing_twice(self) -> None:
        rig = batch_rig.Rig()
        rig.submit(builders.job("job-1"))
        rig.run(5)
        rig.find_worker_running(DAY_TASK_ID).restart()
        rig.run(200)
        assert [number for number, _ in rig.list_starts(DAY_TASK_ID)] == [1, 2]
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED

    def test_the_only_worker_may_run_a_task_that_failed_on_it(self) -> None:
        rig = batch_rig.Rig(workers=1)
        rig.submit(builders.job("job-1"))
        rig.run(5)
        rig.find_worker_running(DAY_TASK_ID).restart()
        rig.run(400)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED


class TestEviction:
    """An evicted task resumes once, from its last checkpoint."""

    def test_leaving_worker_is_emptied(self) -> None:
        rig = batch_rig.Rig()
        rig.submit(builders.job("job-1"))
        rig.run(20)
        leaving_worker = rig.find_worker_running(DAY_TASK_ID)
        live_machine = _events.LiveMachine(
            leaving_worker.name, "worker", "dunedin", "rack-1", "", leaving=True
        )
        rig.handle_event(
            "dunedin-1", _events.LiveListRead((live_machine,), 0.0)
        )
        rig.run(20)
        _first, second = rig.list_starts(DAY_TASK_ID)
        assert second[0] == 2
        assert second[1].startswith(f"{DAY_TASK_ID}@")
        assert rig.find_worker_running(DAY_TASK_ID) is not leaving_worker
        rig.run(100)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED
        assert len(rig.list_starts(DAY_TASK_ID)) == 2

    def test_lost_checkpoint_answers_lose_nothing(self) -> None:
        rig = batch_rig.Rig()
        rig.submit(builders.job("job-1"))
        rig.run(20)
        leaving_worker = rig.find_worker_running(DAY_TASK_ID)
        leaving_worker.lose_answers = True
        live_machine = _events.LiveMachine(
            leaving_worker.name, "worker", "dunedin", "rack-1", "", leaving=True
        )
        rig.handle_event(
            "dunedin-1", _events.LiveListRead((live_machine,), 0.0)
        )
        rig.run(3)
        leaving_worker.lose_answers = False
        rig.run(120)
        assert len(rig.list_starts(DAY_TASK_ID)) == 2
        assert rig.list_starts(DAY_TASK_ID)[1][1].startswith(f"{DAY_TASK_ID}@")
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED


class TestTakeOver:
    """A successor adopts running tasks and restarts none."""

    def _make_rig(self) -> batch_rig.Rig:
        """Returns a rig of three instances and three workers."""
        names = ("dunedin-1", "christchurch-1", "invercargill-1")
        return batch_rig.Rig(instances=names, workers=3)

    def test_running_tasks_are_adopted(self) -> None:
        rig = self._make_rig()
        tasks = [builders.task_spec(f"day-{index}") for index in range(12)]
        rig.submit(builders.job("job-1", *tasks))
        rig.run(10)
        rig.kill("dunedin-1")
        rig.run(2)
        rig.take_over("dunedin-1", "christchurch-1")
        rig.run(200)
        for task in tasks:
            task_id = f"job-1/{task.name}"
            assert rig.task_phase(task_id) is _Phase.COMPLETED
            assert len(rig.list_starts(task_id)) == 1

    def test_claim_without_a_start_is_settled(self) -> None:
        rig = self._make_rig()
        claim = _records.TaskClaimed(DAY_TASK_ID, 1, "worker-0", 1)
        rig.kill("dunedin-1")
        rig.submit(builders.job("job-1"))
        rig.submit_record(claim, author="dunedin-1")
        rig.take_over("dunedin-1", "christchurch-1")
        rig.run(200)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED
        assert [number for number, _ in rig.list_starts(DAY_TASK_ID)] == [2]

    def test_deposed_owner_may_not_free_a_task(self) -> None:
        rig = self._make_rig()
        rig.submit(builders.job("job-1"))
        rig.run(5)
        machine = rig.log.state.task_by_id[DAY_TASK_ID].machine
        owner = rig.log.state.machine_by_id[machine].owner
        successor = next(name for name in rig.core_by_instance if name != owner)
        rig.kill(owner)
        rig.take_over(owner, successor)
        verdict = rig.submit_record(
            _records.TaskFailed(DAY_TASK_ID, 1, machine, "lease lapsed"),
            author=owner,
        )
        assert not verdict.is_accepted


class TestFailures:
    """Failing tasks are distinguished from failing workers; both end."""

    def test_worker_that_fails_everything_is_set_aside(self) -> None:
        rig = batch_rig.Rig(workers=2)
        rig.worker_by_name["worker-0"].fail_everything = True
        tasks = [builders.task_spec(f"day-{index}") for index in range(40)]
        rig.submit(builders.job("job-1", *tasks))
        rig.run(400)
        phases = {rig.task_phase(f"job-1/{task.name}") for task in tasks}
        assert phases == {_Phase.COMPLETED}
        assert any(each.decision == "set-aside" for each in rig.decisions)

    def test_poison_task_ends_with_the_reason(self) -> None:
        rig = batch_rig.Rig(workers=6)
        for worker in rig.worker_by_name.values():
            worker.fail_everything = True
        rig.submit(builders.job("job-1"))
        rig.run(400)
        entry = rig.log.state.task_by_id[DAY_TASK_ID]
        assert entry.reason == "poison"
        assert len(set(entry.failed_machines)) == 4

    def test_refused_starts_lose_nothing(self) -> None:
        rig = batch_rig.Rig()
        for worker in rig.worker_by_name.values():
            worker.refuse = True
        rig.submit(builders.job("job-1"))
        rig.run(20)
        for worker in rig.worker_by_name.values():
            worker.refuse = False
        rig.run(200)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED
        assert len(rig.list_starts(DAY_TASK_ID)) == 1


class TestLogOutage:
    """Without the log no task is claimed, but running tasks continue."""

    def test_completion_is_recorded_afterwards(self) -> None:
        rig = batch_rig.Rig()
        rig.submit(builders.job("job-1"))
        rig.run(10)
        rig.is_log_down = True
        rig.run(300)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.CLAIMED
        rig.is_log_down = False
        rig.run(5)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.COMPLETED
        assert len(rig.list_starts(DAY_TASK_ID)) == 1


class TestGangs:
    """The tasks of a gang start together or not at all."""

    def test_gang_waits_until_all_fit(self) -> None:
        rig = batch_rig.Rig(workers=2)
        big = _job.ResourceDemand(20000, 4096)
        rig.submit(
            builders.job("job-0", builders.task_spec("other", demand=big))
        )
        rig.run(5)
        gang = [
            builders.task_spec(f"part-{index}", demand=big, gang="all")
            for index in range(2)
        ]
        rig.submit(builders.job("job-1", *gang))
        rig.run(20)
        assert rig.list_starts("job-1/part-0") == []
        assert rig.list_starts("job-1/part-1") == []
        rig.run(100)
        assert len(rig.list_starts("job-1/part-0")) == 1
        assert len(rig.list_starts("job-1/part-1")) == 1


class TestCancellation:
    """Cancelling many jobs at once ends every task and frees the quota."""

    def test_many_jobs_cancelled_at_once(self) -> None:
        rig = batch_rig.Rig(workers=3)
        spec = builders.task_spec("day", demand=_job.ResourceDemand(1000, 1024))
        for index in range(100):
            rig.submit(builders.job(f"job-{index}", spec))
        rig.run(5)
        for index in range(100):
            rig.submit_record(_records.JobCancelled(f"job-{index}", "kowhai"))
        rig.run(20)
        phases = {rig.task_phase(f"job-{index}/day") for index in range(100)}
        assert phases == {_Phase.ENDED}
        assert rig.log.state.usage_by_customer["kowhai"].tasks == 0
        now_s = rig.clock.now().boot_s
        for worker in rig.worker_by_name.values():
            assert worker.list_running(now_s) == []


class TestStanding:
    """A standing watch is kept running and never runs twice at a time."""

    def _make_rig(self, run_time_s: float) -> batch_rig.Rig:
        """Returns a rig that has run one standing task for 30 seconds."""
        watch = batch_rig.batch_class("watch", standing=True)
        contract = builders.contract()
        classes = {**contract.class_by_name, "watch": watch}
        rig = batch_rig.Rig(
            contract=dataclasses.replace(contract, class_by_name=classes)
        )
        spec = builders.task_spec("day", run_time_s=run_time_s)
        rig.submit(builders.job("job-1", spec, class_name="watch"))
        rig.run(30)
        return rig

    def test_watch_moves_off_a_leaving_worker(self) -> None:
        rig = self._make_rig(1e9)
        leaving_worker = rig.find_worker_running(DAY_TASK_ID)
        live_machine = _events.LiveMachine(
            leaving_worker.name, "worker", "dunedin", "rack-1", "", leaving=True
        )
        rig.handle_event(
            "dunedin-1", _events.LiveListRead((live_machine,), 0.0)
        )
        rig.run(20)
        assert rig.find_worker_running(DAY_TASK_ID) is not leaving_worker

    def test_watch_that_ends_by_itself_starts_again(self) -> None:
        rig = self._make_rig(40.0)
        rig.run(30)
        assert len(rig.list_starts(DAY_TASK_ID)) == 2
        assert rig.task_phase(DAY_TASK_ID) is not _Phase.COMPLETED

    def test_watch_is_never_poison(self) -> None:
        rig = self._make_rig(1e9)
        for worker in rig.worker_by_name.values():
            worker.fail_everything = True
            worker.restart()
        rig.run(300)
        assert rig.task_phase(DAY_TASK_ID) in (_Phase.PENDING, _Phase.CLAIMED)


class TestDrain:
    """An instance that leaves claims no more tasks."""

    def test_draining_claims_nothing(self) -> None:
        rig = batch_rig.Rig()
        rig.handle_event("dunedin-1", _events.DrainRequested())
        rig.submit(builders.job("job-1"))
        rig.run(10)
        assert rig.task_phase(DAY_TASK_ID) is _Phase.PENDING


class TestQuota:
    """Instances respect the quota without claims that are rejected."""

    @pytest.mark.parametrize("workers", [1, 4])
    def test_quota_is_never_exceeded(self, workers: int) -> None:
        rig = batch_rig.Rig(workers=workers)
        spec = builders.task_spec("day", demand=_job.ResourceDemand(8000, 1024))
        for index in range(20):
            rig.submit(builders.job(f"job-{index}", spec))
        rig.run(10)
        usage = rig.log.state.usage_by_customer["kowhai"]
        assert usage.millicores == min(64000, workers * 32000)
        rejected = [
            each for each in rig.decisions if each.decision == "claim-rejected"
        ]
        assert rejected == []


class TestWaiting:
    """A task that fits some worker is eventually claimed."""

    def test_task_that_failed_here_lets_others_of_its_kind_pass(self) -> None:
        # Regression: tasks of equal shape shared one queue, and its first task,
        # which avoids the only worker, blocked the others forever.
        rig = batch_rig.Rig(workers=1)
        worker = rig.worker_by_name["worker-0"]
        worker.fail_everything = True
        rig.submit(builders.job("job-1", builders.task_spec("first")))
        rig.run(3.0)
        worker.fail_everything = False
        rig.run(300.0)
        rig.submit(builders.job("job-2", builders.task_spec("second")))
        rig.run(90.0)
        entry = rig.log.state.task_by_id["job-2/second"]
        assert entry.phase is _job.TaskPhase.COMPLETED

    def test_learned_interference_does_not_starve_a_task(self) -> None:
        # Regression: a worker that once slowed down urgent work was never used
        # again, so without another worker the task waited forever.
        rig = batch_rig.Rig(workers=1)
        rig.submit(builders.job("job-1", builders.task_spec("first")))
        rig.run(2.0)
        latency_event = _batch_events.ServiceLatencyMeasured(
            "worker-0", "kowhai", "check", latency_ratio=2.0, slowdown=4.0
        )
        for _ in range(12):
            rig.handle_event("dunedin-1", latency_event)
            rig.run(1.0)
        rig.submit(builders.job("job-2", builders.task_spec("second")))
        rig.run(400.0)
        entry = rig.log.state.task_by_id["job-2/second"]
        assert entry.phase is _job.TaskPhase.COMPLETED
