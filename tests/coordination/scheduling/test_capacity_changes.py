"""Tests that starts keep to an executor's capacity while it changes."""

import dataclasses
import random

import pytest

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_FULL = _job_spec.Resources(4000, 8000, 0)
_HALF = _job_spec.Resources(2000, 4000, 0)
_CONTACT_LOST_S = (
    _limits.CONTACT_TIMEOUT_S
    + (_limits.TICKS_PER_RENEWAL + 2) * cell_rig.STEP_S
)
"""Silence in seconds after which an executor surely gets no more starts."""

_JOB_ID = "00000000000000a1"
_OTHER_JOB_ID = "00000000000000a2"


def _count_starts(rig: cell_rig.CellRig, job_id: str) -> int:
    """Returns how many starts of a job executors have begun."""
    return sum(order.task.job == job_id for _, _, order in rig.starts)


def _lasting_job(
    count: int, job_id: str = _JOB_ID, **changes: object
) -> _progress.AcceptedJob:
    """Returns a job with tasks of one core that run until cancelled."""
    step = build.step_spec(count=count, runs_until_cancelled=True, **changes)
    return build.accepted_job(step, job_id=job_id)


class TestCapacityShrinksBelowWhatRuns:
    """What runs goes on; nothing starts until it fits again."""

    def _start_full(self) -> cell_rig.CellRig:
        """Returns a rig whose only executor is full and has shrunk since."""
        rig = cell_rig.CellRig()
        rig.run_time_s = 2.0
        rig.submit(build.accepted_job(build.step_spec(count=4)))
        rig.run(1.0)
        assert len(rig.executor_by_id["e1"].run_by_key) == 4
        rig.submit(
            build.accepted_job(build.step_spec(count=4), job_id=_OTHER_JOB_ID)
        )
        rig.resize_executor("e1", _HALF)
        return rig

    def test_no_start_while_it_is_over_its_capacity(self) -> None:
        rig = self._start_full()
        rig.run(0.5)
        assert _count_starts(rig, _OTHER_JOB_ID) == 0

    def test_no_run_is_stopped(self) -> None:
        rig = self._start_full()
        rig.run(0.5)
        assert len(rig.executor_by_id["e1"].run_by_key) == 4

    def test_starts_resume_within_what_is_left_as_runs_end(self) -> None:
        rig = self._start_full()
        rig.run(2.0)
        assert _count_starts(rig, _OTHER_JOB_ID) == 2
        rig.run(4.0)
        for job_id in (_JOB_ID, _OTHER_JOB_ID):
            state = rig.scheduler.visible_state(job_id)
            assert state is _progress.JobState.COMPLETED

    def test_starts_resume_at_once_when_it_grows(self) -> None:
        rig = self._start_full()
        rig.run(0.2)
        rig.resize_executor("e1", _job_spec.Resources(5000, 8000, 0))
        rig.run(0.2)
        assert _count_starts(rig, _OTHER_JOB_ID) == 1

    def test_lasting_tasks_stay_at_work(self) -> None:
        rig = cell_rig.CellRig()
        rig.submit(_lasting_job(4))
        rig.run(3.0)
        rig.resize_executor("e1", _HALF)
        rig.submit(build.accepted_job(job_id=_OTHER_JOB_ID))
        rig.run(8.0)
        assert rig.count_lasting_runs() == 4
        assert _count_starts(rig, _JOB_ID) == 4

    @pytest.mark.parametrize(
        "capacity",
        [_job_spec.Resources(4000, 0, 0), _job_spec.Resources(0, 8000, 0)],
    )
    def test_each_resource_counts_by_itself(
        self, capacity: _job_spec.Resources
    ) -> None:
        rig = cell_rig.CellRig()
        rig.submit(_lasting_job(2))
        rig.run(1.0)
        rig.resize_executor("e1", capacity)
        rig.submit(
            build.accepted_job(
                build.step_spec(size=_job_spec.Resources(1, 1, 0)),
                job_id=_OTHER_JOB_ID,
            )
        )
        rig.run(3.0)
        assert _count_starts(rig, _OTHER_JOB_ID) == 0

    def test_a_gang_starts_only_where_all_members_fit(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.submit(_lasting_job(8))
        rig.run(1.0)
        rig.cancel(_JOB_ID)
        rig.resize_executor("e1", _HALF)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=7, gang=True), job_id=_OTHER_JOB_ID
            )
        )
        rig.run(2.0)
        assert _count_starts(rig, _OTHER_JOB_ID) == 0
        rig.resize_executor("e1", _FULL)
        rig.run(0.5)
        assert _count_starts(rig, _OTHER_JOB_ID) == 7


class TestAcceptedTaskFitsNoExecutorAnyMore:
    """A task that was accepted waits until an executor has grown again."""

    def test_it_waits_and_then_runs(self) -> None:
        rig = cell_rig.CellRig()
        rig.submit(build.accepted_job(build.step_spec(size=_FULL)))
        rig.resize_executor("e1", _HALF)
        rig.run(5.0)
        state = rig.scheduler.visible_state(_JOB_ID)
        assert state is _progress.JobState.PENDING
        rig.resize_executor("e1", _FULL)
        rig.run(2.0)
        state = rig.scheduler.visible_state(_JOB_ID)
        assert state is _progress.JobState.COMPLETED


class TestSuccessorBeforeItsFirstList:
    """The capacity in the stored roster starts nothing."""

    def test_no_start_before_the_list_is_read(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1.0)
        rig.submit(build.accepted_job(build.step_spec(count=4)))
        rig.step()  # It stores the job, which starts with the next one.
        assert not rig.starts
        entry = rig.executor_by_id["e1"].entry
        rig.executor_by_id["e1"].is_up = False
        rig.take_over()  # It reads a list without the executor.
        rig.executor_by_id["e1"].is_up = True
        rig.executor_by_id["e1"].resize(_HALF)
        rig.run(2.0)
        state = rig.scheduler.cell.executor_by_id["e1"]
        assert state.listing.capacity == entry.capacity
        assert state.last_answer_s is not None
        assert not rig.starts
        rig.list_executors()
        rig.run(0.3)
        assert len(rig.starts) == 2


class TestCapacityShrinksBeforeAHeldStartIsSent:
    """A start that waits for its batch is sent only if it still fits."""

    def _hold_starts(self, count: int) -> cell_rig.CellRig:
        """Returns a rig with starts that wait for an unavailable store."""
        rig = cell_rig.CellRig()
        rig.run(0.2)
        rig.submit(_lasting_job(count))
        rig.step()
        rig.store_is_up = False
        rig.run(0.2)
        assert not rig.starts
        assert len(rig.scheduler.cell.held_starts) == count
        return rig

    def test_those_that_no_longer_fit_are_not_sent(self) -> None:
        rig = self._hold_starts(4)
        rig.resize_executor("e1", _HALF)
        rig.store_is_up = True
        rig.run(0.5)
        assert _count_starts(rig, _JOB_ID) == 2

    def test_their_tasks_start_where_there_is_room(self) -> None:
        rig = self._hold_starts(4)
        rig.resize_executor("e1", _HALF)
        rig.add_executor(build.executor_entry("e2"))
        rig.store_is_up = True
        rig.run(1.0)
        assert rig.count_lasting_runs() == 4
        assert len(rig.executor_by_id["e1"].run_by_key) == 2

    def test_those_whose_batch_is_stored_are_checked_again(self) -> None:
        rig = self._hold_starts(4)
        rig.store_is_up = True
        rig.step()  # The orders are sent with the next step.
        assert not rig.starts
        rig.resize_executor("e1", _HALF)
        rig.run(0.5)
        assert _count_starts(rig, _JOB_ID) == 2


class TestExecutorChangesWhileAHeldStartIsChecked:
    """A start that waits for a connection is sent only if it still may be."""

    def _hold_starts(
        self, rig: cell_rig.CellRig, monkeypatch: pytest.MonkeyPatch
    ) -> list[_orders.StartOrder]:
        """Returns four starts that are held."""
        held: list[_orders.StartOrder] = []
        send_order = rig._send_order

        def hold(order: _orders.ExecutorOrder) -> None:
            if isinstance(order, _orders.StartOrder):
                held.append(order)
                rig.scheduler.hold_start(order)
            else:
                send_order(order)

        monkeypatch.setattr(rig, "_send_order", hold)
        rig.submit(_lasting_job(4))
        rig.run(0.3)
        assert len(held) == 4
        return held

    def test_none_is_sent_to_one_that_drains(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = cell_rig.CellRig()
        held = self._hold_starts(rig, monkeypatch)
        now = build.clock_readings_at(rig.now_s)
        assert rig.scheduler.confirm_start(held[0], now)
        state = rig.scheduler.cell.executor_by_id["e1"]
        rig.scheduler.set_executors(
            [dataclasses.replace(state.listing, is_draining=True)], now
        )
        assert not rig.scheduler.confirm_start(held[0], now)

    def test_none_is_sent_to_one_that_has_become_too_small(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = cell_rig.CellRig()
        held = self._hold_starts(rig, monkeypatch)
        rig.resize_executor("e1", _HALF)
        now = build.clock_readings_at(rig.now_s)
        assert not rig.scheduler.confirm_start(held[0], now)


class TestRestartUnderTheSameIdWithLessCapacity:
    """The capacity of an earlier incarnation does not count for a later one."""

    def _restart_smaller(self) -> cell_rig.CellRig:
        """Returns a rig that knows of the restart but not of the capacity."""
        rig = cell_rig.CellRig(build.executor_entry(born_ms=1))
        rig.run(1.0)
        rig.restart_executor_resized("e1", _HALF)
        rig.run(1.0)
        state = rig.scheduler.cell.executor_by_id["e1"]
        assert state.started_wall_ms == rig.executor_by_id["e1"].born_ms
        assert state.listing.capacity == _FULL
        return rig

    def test_no_start_before_its_new_capacity_is_listed(self) -> None:
        rig = self._restart_smaller()
        rig.submit(build.accepted_job(build.step_spec(count=4)))
        rig.run(2.0)
        assert not rig.starts
        rig.list_executors()
        rig.run(0.2)
        assert len(rig.starts) == 2

    def test_an_executor_without_a_listed_start_time_stays_usable(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry(born_ms=0))
        rig.submit(build.accepted_job(build.step_spec(count=4)))
        rig.run(1.0)
        assert len(rig.starts) == 4


class TestSubmissionWhileExecutorsHaveShrunk:
    """A job that may fit again is accepted and waits."""

    def test_it_is_accepted_and_runs_once_there_is_room(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(0.5)
        rig.resize_executor("e1", _HALF)
        rig.submit(build.accepted_job(build.step_spec(size=_FULL)))
        rig.run(1.0)
        assert not rig.refused_jobs
        assert not rig.starts
        rig.resize_executor("e1", _FULL)
        rig.run(2.0)
        state = rig.scheduler.visible_state(_JOB_ID)
        assert state is _progress.JobState.COMPLETED

    def test_a_successor_accepts_it_too(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(0.5)
        rig.resize_executor("e1", _HALF)
        rig.add_executor(build.executor_entry("e2", capacity=_HALF))
        rig.run(0.5)
        rig.take_over()
        rig.submit(build.accepted_job(build.step_spec(size=_FULL)))
        assert not rig.refused_jobs

    def test_what_no_executor_ever_had_is_refused_at_once(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(0.5)
        rig.resize_executor("e1", _HALF)
        size = _FULL + _job_spec.Resources(cpu_millicores=1)
        rig.submit(build.accepted_job(build.step_spec(size=size)))
        assert rig.refused_jobs == {_JOB_ID}

    def test_a_smaller_incarnation_does_not_grow_to_the_earlier_one(
        self,
    ) -> None:
        rig = cell_rig.CellRig(build.executor_entry(born_ms=1))
        rig.run(0.5)
        rig.restart_executor_resized("e1", _HALF)
        rig.list_executors()
        rig.submit(build.accepted_job(build.step_spec(size=_FULL)))
        assert rig.refused_jobs == {_JOB_ID}


class TestOneExecutorOverItsCapacity:
    """What is over the capacity of one takes no room from the others."""

    def _start_beside_a_shrunk_executor(self) -> cell_rig.CellRig:
        """Returns a rig with one executor over its capacity and one empty.

        Short tasks have just run on the second.
        """
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.submit(_lasting_job(4))
        rig.run(3.0)
        rig.add_executor(build.executor_entry("e2"))
        rig.run(0.2)
        rig.submit(
            build.accepted_job(build.step_spec(), job_id="00000000000000a3")
        )
        rig.run(1.0)
        rig.resize_executor("e1", _job_spec.Resources(0, 0, 0))
        return rig

    def test_a_lasting_task_starts_at_once_on_another(self) -> None:
        rig = self._start_beside_a_shrunk_executor()
        rig.submit(_lasting_job(1, job_id=_OTHER_JOB_ID))
        rig.run(0.3)
        assert _count_starts(rig, _OTHER_JOB_ID) == 1


class TestRandomChanges:
    """Executors shrink and grow under load while schedulers take over."""

    def _submit_random_job(
        self, rig: cell_rig.CellRig, rng: random.Random, number: int
    ) -> None:
        """Submits a job whose tasks fit the larger executors."""
        cores = rng.randint(1, 4)
        lasts = rng.random() < 0.2
        step = build.step_spec(
            count=rng.randint(1, 2 if lasts else 6),
            size=_job_spec.Resources(1000 * cores, 500 * rng.randint(1, 8), 0),
            runs_until_cancelled=lasts,
            gang=not lasts and rng.random() < 0.1,
        )
        rig.submit(build.accepted_job(step, job_id=f"{number:016x}"))

    def _change_something(
        self, rig: cell_rig.CellRig, rng: random.Random
    ) -> None:
        """Resizes or restarts an executor, or disturbs scheduler or store.

        The first executor goes on, so that all jobs fit its first capacity.
        """
        first_id, *other_ids = rig.executor_by_id
        match rng.randrange(10):
            case 0:
                rig.take_over()
            case 1:
                rig.resign()
            case 2:
                rig.store_is_up = not rig.store_is_up
            case 3:
                executor_id = rng.choice(other_ids)
                rig.restart_executor_resized(executor_id, _random_capacity(rng))
                # It is away until the scheduler has lost contact with it.
                rig.executor_by_id[executor_id].is_answering = False
                rig.run(_CONTACT_LOST_S)
                rig.executor_by_id[executor_id].is_answering = True
                rig.run(rng.uniform(0.0, 1.0))
                rig.list_executors()
            case _:
                rig.resize_executor(
                    rng.choice((first_id, *other_ids)), _random_capacity(rng)
                )

    @pytest.mark.parametrize("seed", range(12))
    def test_no_start_exceeds_a_capacity_and_all_jobs_end(
        self, seed: int
    ) -> None:
        rng = random.Random(f"capacity-changes/{seed}")
        rig = cell_rig.CellRig(
            *(
                build.executor_entry(f"e{number}", born_ms=1)
                for number in range(4)
            ),
            seed=seed,
            fail_share=0.05,
        )
        rig.lost_share = 0.05 if seed % 2 else 0.0
        rig.delayed_share = 0.05 if seed % 3 else 0.0
        rig.run(0.5)
        for number in range(40):
            self._submit_random_job(rig, rng, number)
            rig.run(rng.uniform(0.0, 0.6))
            self._change_something(rig, rng)
        rig.store_is_up = True
        rig.run(1.0)
        for executor_id in rig.executor_by_id:
            rig.resize_executor(
                executor_id, _job_spec.Resources(64_000, 64_000, 0)
            )
        rig.run(20.0)
        assert not rig.refused_jobs
        assert {
            job.id
            for job in rig.scheduler.cell.job_by_id.values()
            if job.is_active and not job.spec.has_lasting_step
        } == set()
        assert {
            job.id
            for job in rig.scheduler.cell.job_by_id.values()
            if job.waiting_tasks_by_step
        } == set()


def _random_capacity(rng: random.Random) -> _job_spec.Resources:
    """Returns a capacity between nothing and that of a new executor."""
    return _job_spec.Resources(
        1000 * rng.randint(0, 4), 1000 * rng.randint(0, 8), 0
    )
