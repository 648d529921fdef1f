"""Tests of what the store keeps of finished jobs, and what it is used for."""

import random

import hypothesis
from hypothesis import strategies

from basiljunction.coordination.leadership import _term_history
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records
import cell_rig
import workload_builders as build

_State = _progress.JobState

_PAYLOAD = "a payload that only the tasks of the job need"

_SPEC_WITHOUT_WORK = _job_spec.JobSpec(payload="", steps=())
"""What is kept of the specification of a finished job."""


def _lasting_job(**changes: int) -> _progress.AcceptedJob:
    """Returns a job whose only task runs until the job is cancelled."""
    return build.accepted_job(
        build.step_spec(runs_until_cancelled=True, **changes), payload=_PAYLOAD
    )


def _finish_a_job(rig: cell_rig.CellRig) -> _progress.AcceptedJob:
    """Runs a job to its end and returns it."""
    accepted = build.accepted_job(
        build.step_spec(count=3, checkpoints=True), payload=_PAYLOAD
    )
    rig.run(1)
    rig.submit(accepted)
    rig.run(3)
    assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
    return accepted


def _stored_job(
    rig: cell_rig.CellRig, job_id: str
) -> tuple[_progress.AcceptedJob, _progress.JobProgress]:
    """Returns a job and its progress as the store keeps them."""
    records = [
        _job_records.decode_record(_job_records.KeyedRecord(key, value))
        for key, value in rig.store.items()
        if key.endswith(job_id)
    ]
    (job,) = (e.job for e in records if isinstance(e, _records.JobRecord))
    (progress,) = (
        e.progress for e in records if isinstance(e, _records.ProgressRecord)
    )
    return job, progress


class TestStoredText:
    """The store keeps of a finished job what callers may still ask for."""

    def test_a_finished_job_does_not_keep_its_payload_steps_and_done_tasks(
        self,
    ) -> None:
        rig = cell_rig.CellRig()
        accepted = _finish_a_job(rig)
        job, progress = _stored_job(rig, accepted.id)
        assert job.spec == _SPEC_WITHOUT_WORK
        assert progress == _progress.JobProgress(
            state=_State.COMPLETED, finished_wall_s=progress.finished_wall_s
        )

    def test_a_job_keeps_its_steps_until_its_final_state_is_stored(
        self,
    ) -> None:
        """Cut between the two, an unfinished job would have no steps."""
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.run(0.3)
        rig.store_is_up = False
        rig.run(3)
        rig.store_is_up = True
        rig.run(2)
        records = [
            _job_records.decode_record(each)
            for each in rig.writes
            if each.key.endswith(accepted.id)
        ]
        is_final = [
            isinstance(each, _records.ProgressRecord)
            and each.progress.state.is_final
            for each in records
        ]
        is_shortened = [
            isinstance(each, _records.JobRecord) and not each.job.spec.steps
            for each in records
        ]
        assert is_final.index(True) < is_shortened.index(True)

    def test_the_scheduler_does_not_keep_the_payload_in_memory(self) -> None:
        rig = cell_rig.CellRig()
        accepted = _finish_a_job(rig)
        assert rig.scheduler.cell.job_by_id[accepted.id].spec.payload == ""

    def test_an_earlier_build_s_finished_jobs_are_shortened_by_a_successor(
        self,
    ) -> None:
        rig = cell_rig.CellRig()
        accepted = _finish_a_job(rig)
        (whole,) = _job_records.encode_record(_records.JobRecord(accepted))
        rig.store[whole.key] = whole.value
        rig.take_over()
        rig.run(2)
        assert _stored_job(rig, accepted.id)[0].spec == _SPEC_WITHOUT_WORK

    def test_many_finished_jobs_do_not_fill_one_batch_after_a_take_over(
        self,
    ) -> None:
        """An acceptance in the same batch would wait for all of them."""
        records: list[_records.Record] = []
        job_count = 5 * _scheduler.MAX_SHORTENED_AT_ONCE
        for number in range(job_count):
            accepted = build.accepted_job(job_id=f"{number:016x}")
            records.append(_records.JobRecord(accepted))
            records.append(
                _records.ProgressRecord(
                    accepted.id,
                    _progress.JobProgress(
                        _State.COMPLETED, finished_wall_s=build.START_WALL_S
                    ),
                )
            )
        scheduler = build.scheduler(epoch=2)
        scheduler.restore_from_records(
            records,
            build.clock_readings_at(0.0),
            earlier_terms_ended_s=0.0,
            history=_term_history.TermHistory(),
        )
        shortened: set[str] = set()
        for second in range(20):
            now = build.clock_readings_at(float(second))
            scheduler.run_timed_work(
                now, confirmed_s=now.boot_s, confirmed_beat=second
            )
            batch = scheduler.take_batch()
            if batch is None:
                continue
            ids = {
                each.job.id
                for each in batch.records
                if isinstance(each, _records.JobRecord)
            }
            assert len(ids) <= _scheduler.MAX_SHORTENED_AT_ONCE
            shortened |= ids
            scheduler.handle_batch_stored(batch, now)
        assert len(shortened) == job_count

    def test_a_deleted_job_does_not_come_back(self) -> None:
        """A record of it after its deletion would make it a job to run."""
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = _lasting_job()
        rig.submit(accepted)
        rig.run(1)
        executor = rig.executor_by_id["e1"]
        executor.is_answering = False
        rig.cancel(accepted.id)
        rig.run(0.1)
        scheduler = rig.scheduler
        scheduler.cell.next_forget_finished_s = 0.0
        later = build.clock_readings_at(1000.0)
        scheduler.run_timed_work(later, confirmed_s=1000.0, confirmed_beat=9)
        rig.run(0.1)
        assert not [key for key in rig.store if key.endswith(accepted.id)]


class TestCallers:
    """A successor answers for a finished job as its predecessor did."""

    def test_its_state_is_shown_and_a_repeated_submission_runs_nothing(
        self,
    ) -> None:
        rig = cell_rig.CellRig()
        accepted = _finish_a_job(rig)
        start_count = len(rig.starts)
        rig.take_over()
        now = build.clock_readings_at(rig.now_s)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        assert rig.scheduler.submit_job(accepted, now) is (
            _orders.SubmitResult.ACCEPTED
        )
        assert rig.scheduler.cancel_job(accepted.id, now) is _State.COMPLETED
        rig.run(3)
        assert len(rig.starts) == start_count

    def test_its_records_are_deleted_in_time(self) -> None:
        rig = cell_rig.CellRig()
        accepted = _finish_a_job(rig)
        rig.take_over()
        rig.run(200)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        rig.run(60)
        assert not [key for key in rig.store if key.endswith(accepted.id)]


class TestRuns:
    """A run that outlives its job keeps its executor's capacity booked."""

    def test_a_successor_knows_the_size_of_a_run_that_is_being_stopped(
        self,
    ) -> None:
        """Otherwise it starts others beside it, over the capacity."""
        rig = cell_rig.CellRig()
        rig.run(1)
        size = _job_spec.Resources(4000, 8000, 0)
        accepted = build.accepted_job(
            build.step_spec(size=size, runs_until_cancelled=True)
        )
        rig.submit(accepted)
        rig.run(1)
        rig.drops_stop_orders = True
        rig.cancel(accepted.id)
        rig.run(2)
        assert rig.scheduler.visible_state(accepted.id) is _State.CANCELLED
        rig.take_over()
        rig.submit(
            build.accepted_job(
                build.step_spec(size=size), job_id="00000000000000b2"
            )
        )
        rig.run(1)
        assert len(rig.starts) == 1
        rig.drops_stop_orders = False
        rig.run(2)
        assert len(rig.starts) == 2
        assert _stored_job(rig, accepted.id)[0].spec == _SPEC_WITHOUT_WORK

    def test_a_successor_keeps_the_steps_until_each_executor_has_listed(
        self,
    ) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        accepted = build.accepted_job(
            build.step_spec(count=8, runs_until_cancelled=True)
        )
        rig.submit(accepted)
        rig.run(1)
        rig.drops_stop_orders = True
        rig.cancel(accepted.id)
        rig.run(0.1)
        rig.executor_by_id["e1"].is_answering = False
        rig.take_over()
        rig.drops_stop_orders = False
        rig.run(3)
        assert rig.executor_by_id["e2"].run_by_key == {}
        assert _stored_job(rig, accepted.id)[0] == accepted
        rig.executor_by_id["e1"].is_answering = True
        rig.run(3)
        assert _stored_job(rig, accepted.id)[0].spec == _SPEC_WITHOUT_WORK

    def test_a_listed_run_of_a_shortened_job_is_stopped(self) -> None:
        rig = cell_rig.CellRig()
        accepted = _finish_a_job(rig)
        rig.take_over()
        executor = rig.executor_by_id["e1"]
        task = _job_spec.TaskId(accepted.id, 0, 0, 0)
        executor.run_by_key[task, 1 << 19] = cell_rig.SimulatedRun(
            accepted.spec.steps[0], rig.now_s + 60, _executor.RunEndKind.DONE
        )
        executor.lease_ms = executor.clock_ms + 5000
        rig.run(2)
        assert executor.run_by_key == {}
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED


def _play_random_jobs(seed: int, action_count: int) -> cell_rig.CellRig:
    """Returns a rig after random submissions, cancels and take-overs."""
    rng = random.Random(seed)
    rig = cell_rig.CellRig(
        build.executor_entry("e1"),
        build.executor_entry("e2"),
        seed=seed,
        fail_share=0.3,
    )
    rig.run(0.5)
    for number in range(action_count):
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    count=rng.randint(1, 3),
                    runs_until_cancelled=rng.random() < 0.3,
                ),
                job_id=f"{number:016x}",
                payload=_PAYLOAD,
            )
        )
        rig.run(rng.uniform(0.0, 0.6))
        match rng.randrange(5):
            case 0:
                rig.cancel(f"{rng.randrange(number + 1):016x}")
            case 1:
                rig.take_over()
            case 2:
                rig.store_is_up = not rig.store_is_up
    rig.store_is_up = True
    rig.run(rng.uniform(0.0, 3.0))
    return rig


def _fold(writes: list[_job_records.KeyedRecord]) -> dict[str, bytes]:
    """Returns the newest value by key that the store has after the writes."""
    newest: dict[str, bytes] = {}
    for each in writes:
        newest[each.key] = each.value
    return {key: value for key, value in newest.items() if value}


def _restore(writes: list[_job_records.KeyedRecord]) -> _scheduler.Scheduler:
    """Returns a scheduler that has read the writes from the store."""
    scheduler = build.scheduler(epoch=100)
    scheduler.restore_from_records(
        [
            _job_records.decode_record(_job_records.KeyedRecord(key, value))
            for key, value in _fold(writes).items()
        ],
        build.clock_readings_at(60.0),
        earlier_terms_ended_s=60.0,
        history=_term_history.TermHistory(),
    )
    return scheduler


def _has_room_for_next_task(rig: cell_rig.CellRig, job_id: str) -> bool:
    """Returns whether a job has room to go on; it has if none waits.

    Tasks that run until cancelled may fill all executors for good.
    """
    job = rig.scheduler.cell.job_by_id[job_id]
    sizes = [
        job.spec.steps[waiting_tasks.step].size
        for waiting_tasks in job.waiting_tasks_by_step.values()
    ]
    return not sizes or any(
        executor.has_room_for(size)
        for executor in rig.executor_by_id.values()
        for size in sizes
    )


class TestCutWrites:
    """A successor may find any prefix of the writes, the last ones repeated."""

    @hypothesis.settings(max_examples=40, deadline=None)
    @hypothesis.given(
        seed=strategies.integers(0, 1 << 16),
        action_count=strategies.integers(1, 12),
        data=strategies.data(),
    )
    def test_no_shown_state_is_lost_and_no_finished_task_starts(
        self, seed: int, action_count: int, data: strategies.DataObject
    ) -> None:
        played = _play_random_jobs(seed, action_count)
        cut = data.draw(strategies.integers(0, len(played.writes)))
        repeated = data.draw(strategies.integers(0, min(cut, 8)))
        writes = played.writes[:cut] + played.writes[cut - repeated : cut]
        scheduler = _restore(writes)
        shown = {
            job_id: state
            for end, job_id, state in played.shown_states
            if end <= cut
        }
        for job_id, state in shown.items():
            restored_state = scheduler.visible_state(job_id)
            assert restored_state is not None
            assert restored_state is state or not state.is_final
        for job in scheduler.cell.job_by_id.values():
            assert job.spec.steps or job.progress.state.is_final
        rig = cell_rig.CellRig(
            build.executor_entry("e1"),
            build.executor_entry("e2"),
            stored=_fold(writes),
        )
        rig.spec_by_job = dict(played.spec_by_job)
        rig.stored_jobs = set(scheduler.cell.job_by_id)
        finished = {
            job_id
            for job_id, job in scheduler.cell.job_by_id.items()
            if job.progress.state.is_final
        }
        for job_id in shown:
            result = rig.scheduler.submit_job(
                build.accepted_job(job_id=job_id), build.clock_readings_at(0.0)
            )
            assert result is _orders.SubmitResult.ACCEPTED
        rig.run(20)
        assert not finished & {order.task.job for _, _, order in rig.starts}
        unfinished = [
            job_id
            for job_id in rig.stored_jobs
            if not rig.spec_by_job[job_id].has_lasting_step
            and not rig.scheduler.cell.job_by_id[job_id].progress.state.is_final
            and _has_room_for_next_task(rig, job_id)
        ]
        assert unfinished == []
