"""Tests that a series of schedulers waits for a silent executor once."""

import dataclasses

import pytest

from basiljunction.coordination.leadership import _term_history
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _silent_executors
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _records
from basiljunction.state.workload import _run_bound
import cell_rig
import workload_builders as build

_MAX_GAP_S = 9.0
"""Time after the end of a lasting task's run by which it has to run again if
there is capacity, in seconds: 6 s, and 3 s without a run after that."""

_RECOVERY_S = 0.6
"""Time from the end of a scheduler to the first step of the next, in
seconds."""

_SHORT_TERM_S = 0.4
"""Time for which a scheduler that is lost soon is at work, in seconds."""

_NOTICE_S = 2.0
"""Time in which a silence is noticed and stored, in seconds."""


def _make_rig_with_lasting_tasks() -> cell_rig.CellRig:
    """Returns a rig of three executors, with lasting tasks on each."""
    rig = cell_rig.CellRig(
        *(build.executor_entry(f"e{number}") for number in range(3))
    )
    rig.run(1)
    rig.submit(
        build.accepted_job(
            build.step_spec(count=6, runs_until_cancelled=True),
            in_queue=build.queue("watch"),
        )
    )
    rig.run(1)
    assert rig.count_lasting_runs() == 6
    return rig


def _lose_executor(rig: cell_rig.CellRig) -> None:
    """Ends executor e0 and its runs for good."""
    rig.executor_by_id["e0"].is_up = False
    rig.executor_by_id["e0"].run_by_key.clear()
    rig.list_executors()


def _read_record(rig: cell_rig.CellRig) -> _records.SilentExecutorsRecord:
    """Returns the stored record of silent executors."""
    record = _job_records.decode_record(
        _job_records.KeyedRecord("silent", rig.store["silent"])
    )
    assert isinstance(record, _records.SilentExecutorsRecord)
    return record


class TestTakeOversInSeries:
    """No term begins the wait for a lost executor anew."""

    def test_resignations_do_not_add_up(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        _lose_executor(rig)
        lost_s = rig.now_s
        while rig.count_lasting_runs() < 6:
            rig.resign()
            for _ in range(round(1.5 / cell_rig.STEP_S)):
                rig.step()
                assert (
                    rig.count_lasting_runs() == 6
                    or rig.now_s - lost_s < _MAX_GAP_S
                )

    def test_lost_schedulers_do_not_add_up(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        _lose_executor(rig)
        lost_s = rig.now_s
        rig.run(_NOTICE_S)
        while rig.count_lasting_runs() < 6:
            rig.take_over(recovery_s=0.5)
            rig.run(1.5)
            assert rig.now_s - lost_s < _MAX_GAP_S

    def test_a_scheduler_that_wrote_nothing_does_not_shorten_the_next_wait(
        self,
    ) -> None:
        """It may have extended a lease before it was lost."""
        rig = _make_rig_with_lasting_tasks()
        rig.executor_by_id["e0"].is_answering = False
        rig.run(_NOTICE_S)
        rig.take_over()
        rig.executor_by_id["e0"].is_answering = True
        rig.run(0.2)
        rig.executor_by_id["e0"].is_answering = False
        rig.take_over()
        rig.run(12)
        assert rig.count_lasting_runs() == 6


class TestFirstRecord:
    """No lease is extended before a term has stored its first record."""

    def test_none_is_extended_while_it_cannot_be_stored(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        rig.take_over()
        rig.store_is_up = False
        leases_ms = [e.lease_ms for e in rig.executor_by_id.values()]
        rig.run(2)
        assert leases_ms == [e.lease_ms for e in rig.executor_by_id.values()]
        rig.store_is_up = True
        rig.run(1)
        assert all(
            executor.lease_ms > lease_ms
            for executor, lease_ms in zip(
                rig.executor_by_id.values(), leases_ms, strict=True
            )
        )

    def test_leases_are_extended_as_soon_as_executors_answer(self) -> None:
        """Their answers come after the first record was made."""
        rig = _make_rig_with_lasting_tasks()
        rig.take_over()
        for executor in rig.executor_by_id.values():
            executor.is_answering = False
        rig.step()
        assert len(_read_record(rig).bound_by_executor) == 3
        for executor in rig.executor_by_id.values():
            executor.is_answering = True
        rig.run(_limits.RENEWAL_RETRY_S + 2 * cell_rig.STEP_S)
        assert all(
            rig.scheduler.cell.is_usable(each, rig.now_s)
            for each in rig.scheduler.cell.executor_by_id.values()
        )

    def test_a_term_that_stored_none_does_not_begin_a_wait_anew(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        _lose_executor(rig)
        lost_s = rig.now_s
        rig.run(_NOTICE_S)
        rig.take_over()
        rig.store_is_up = False
        rig.run(1.5)
        rig.store_is_up = True
        rig.take_over()
        rig.run(lost_s + 7 - rig.now_s)
        assert rig.count_lasting_runs() == 6

    def test_it_has_a_bound_of_each_executor_that_has_not_answered(
        self,
    ) -> None:
        rig = _make_rig_with_lasting_tasks()
        rig.executor_by_id["e1"].is_answering = False
        rig.take_over()
        rig.step()
        record = _read_record(rig)
        assert record.epoch == rig.epoch
        assert "e1" in record.bound_by_executor


class TestNoticeOfSilence:
    """A silence is stored as soon as an answer is overdue."""

    def test_a_renewal_that_hangs_does_not_put_it_off(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        state = rig.scheduler.cell.executor_by_id["e0"]
        rig.executor_by_id["e0"].is_answering = False
        # No answer and no failure of this renewal arrives.
        state.renewal_sent_s = rig.now_s
        rig.run(_limits.CONTACT_TIMEOUT_S + _silent_executors.CHECK_INTERVAL_S)
        assert state.renewal_failures == 0
        rig.run(0.1)
        assert list(_read_record(rig).bound_by_executor) == ["e0"]


class TestLossBesideTheEndOfAScheduler:
    """Each task has a run again in time, whenever its executor is lost."""

    @pytest.mark.parametrize("further_terms", [0, 1, 2])
    @pytest.mark.parametrize("loss_s", [-1.5, -1.0, -0.5, 0.0, 0.3, 0.55])
    def test_lasting_tasks_run_again_in_time(
        self, loss_s: float, further_terms: int
    ) -> None:
        """The loss is so long after the end of the scheduler, or before it."""
        rig = _make_rig_with_lasting_tasks()
        rig.holds_renewals = True
        rig.run(3.3)
        lost_s = rig.now_s
        if loss_s < 0:
            _lose_executor(rig)
            rig.run(-loss_s)
        else:
            lost_s += loss_s
            rig.executor_by_id["e0"].exits_s = lost_s
        rig.take_over(_RECOVERY_S)
        for _ in range(further_terms):
            rig.run(_SHORT_TERM_S)
            rig.take_over(_RECOVERY_S)
        assert not rig.executor_by_id["e0"].is_up
        while rig.count_lasting_runs() < 6:
            assert rig.now_s - lost_s < _MAX_GAP_S
            rig.step()


class TestLeases:
    """The lease of an executor whose bound may be stored stays as it is."""

    def test_it_is_extended_once_the_store_has_no_bound_of_it(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        executor = rig.executor_by_id["e0"]
        executor.is_answering = False
        rig.run(_NOTICE_S)
        assert list(_read_record(rig).bound_by_executor) == ["e0"]
        lease_ms = executor.lease_ms
        rig.store_is_up = False
        executor.is_answering = True
        rig.run(1)
        assert executor.lease_ms == lease_ms
        assert not rig.scheduler.cell.is_usable(
            rig.scheduler.cell.executor_by_id["e0"], rig.now_s
        )
        rig.store_is_up = True
        rig.run(1)
        assert executor.lease_ms > lease_ms
        assert _read_record(rig).bound_by_executor == {}
        assert rig.scheduler.cell.is_usable(
            rig.scheduler.cell.executor_by_id["e0"], rig.now_s
        )

    def test_a_bound_covers_the_whole_lease(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        executor = rig.executor_by_id["e0"]
        executor.is_answering = False
        rig.run(_NOTICE_S)
        record = _read_record(rig)
        assert record.epoch == rig.epoch
        bound = record.bound_by_executor["e0"]
        written_s = rig.history.written_by_s(bound.epoch, bound.beat)
        assert written_s is not None
        lease_until_s = executor.born_s + executor.lease_ms / 1000
        assert written_s + bound.after_s >= lease_until_s
        assert bound.after_s < 2 * _limits.LeaseTimes().lease_s


class TestRestore:
    """Only the record of the scheduler before shortens a wait."""

    @pytest.mark.parametrize(("written_in", "waits_s"), [(2, 4.0), (1, 10.5)])
    def test_a_record_of_an_earlier_scheduler_is_ignored(
        self, written_in: int, waits_s: float
    ) -> None:
        history = _term_history.TermHistory()
        history.record(1, 7, 100.0)
        scheduler = build.scheduler(epoch=3)
        scheduler.restore_from_records(
            [
                _records.ExecutorRosterRecord((build.executor_entry("e0"),)),
                _records.SilentExecutorsRecord(
                    written_in, {"e0": _run_bound.RunBound(1, 7, 4.0)}
                ),
            ],
            build.clock_readings_at(101.0),
            earlier_terms_ended_s=100.0,
            history=history,
        )
        until_s = scheduler.cell.executor_by_id["e0"].inherited_until_s
        assert until_s == pytest.approx(100.0 + waits_s)


@pytest.mark.parametrize("seed", range(12))
class TestFaults:
    """Cuts, outages and changes of scheduler in series double no run."""

    def test_no_task_runs_twice_and_all_run_in_the_end(self, seed: int) -> None:
        rig = cell_rig.CellRig(
            *(build.executor_entry(f"e{number}") for number in range(4)),
            seed=seed,
        )
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=6, runs_until_cancelled=True),
                in_queue=build.queue("watch"),
            )
        )
        rng = rig.rng
        for number in range(40):
            rig.submit(
                build.accepted_job(
                    build.step_spec(count=3), job_id=f"a{number:015x}"
                )
            )
            for executor in rig.executor_by_id.values():
                if rng.random() < 0.15:
                    executor.is_answering = not executor.is_answering
            if rng.random() < 0.3:
                _list_without(rig, rng.choice(sorted(rig.executor_by_id)))
            elif rng.random() < 0.3:
                rig.list_executors()
            rig.store_is_up = rng.random() > 0.15
            rig.run(rng.choice([0.1, 0.3, 1.0, 2.0]))
            if rig.store_is_up and rng.random() < 0.4:
                if rng.random() < 0.5:
                    rig.resign()
                else:
                    rig.take_over(rng.choice([0.0, 0.5, 2.0]))
        for executor in rig.executor_by_id.values():
            executor.is_answering = True
        rig.list_executors()
        rig.store_is_up = True
        rig.run(_silent_executors.FIRST_CHECK_DELAY_S + 15)
        assert rig.count_lasting_runs() == 6
        lasting = {
            task
            for executor in rig.executor_by_id.values()
            for task, _ in executor.run_by_key
        }
        assert lasting == {
            _job_spec.TaskId("00000000000000a1", 0, 0, index)
            for index in range(6)
        }


class TestTasksOfOtherExecutors:
    """A lost executor holds up only the tasks that may run on it."""

    def _lose_executor_after_its_tasks_were_stopped(
        self, rig: cell_rig.CellRig
    ) -> set[_job_spec.TaskId]:
        """Ends lasting tasks on e1 and loses e0; returns those of e1."""
        ended = {task for task, _ in rig.executor_by_id["e1"].run_by_key}
        rig.executor_by_id["e1"].fail_lasting_runs()
        _lose_executor(rig)
        return ended

    def _running_tasks(self, rig: cell_rig.CellRig) -> set[_job_spec.TaskId]:
        """Returns the tasks that run on executors that are up."""
        return {
            task
            for executor in rig.executor_by_id.values()
            if executor.is_up
            for task, _ in executor.run_by_key
        }

    def test_lasting_tasks_run_again_at_once_after_a_take_over(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        ended = self._lose_executor_after_its_tasks_were_stopped(rig)
        rig.take_over()
        rig.run(1)
        assert ended <= self._running_tasks(rig)
        rig.run(2 * _limits.LeaseTimes().max_run_after_term_s)
        assert rig.count_lasting_runs() == 6

    def test_a_task_of_the_lost_executor_still_waits(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        lost = {task for task, _ in rig.executor_by_id["e0"].run_by_key}
        _lose_executor(rig)
        rig.take_over()
        rig.run(_limits.LeaseTimes().lease_s)
        assert not lost & self._running_tasks(rig)

    def test_jobs_of_an_earlier_version_wait_for_all(self) -> None:
        """It did not store on which executor a task ran last."""
        rig = _make_rig_with_lasting_tasks()
        del rig.store["p.00000000000000a1"]
        ended = self._lose_executor_after_its_tasks_were_stopped(rig)
        rig.take_over()
        rig.run(_limits.LeaseTimes().lease_s)
        assert not ended & self._running_tasks(rig)

    def test_short_tasks_that_were_adopted_run_again(self) -> None:
        rig = cell_rig.CellRig(
            *(build.executor_entry(f"e{number}") for number in range(3))
        )
        rig.run(1)
        rig.run_time_s = 4.0
        rig.submit(build.accepted_job(build.step_spec(count=6)))
        rig.run(1)
        _lose_executor(rig)
        rig.take_over()
        rig.run(0.5)
        adopted = {task for task, _ in rig.executor_by_id["e1"].run_by_key}
        assert adopted
        rig.executor_by_id["e1"].restart()
        rig.run(2)
        assert adopted <= {order.task for _, _, order in rig.starts[6:]}


class TestStoredExecutors:
    """A lasting task starts once the store knows its executor."""

    def test_no_start_is_sent_before(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        rig.run(1)
        start_count = len(rig.starts)
        rig.executor_by_id["e1"].fail_lasting_runs()
        rig.store_is_up = False
        rig.run(1)
        assert len(rig.starts) == start_count
        rig.store_is_up = True
        rig.run(1)
        assert rig.count_lasting_runs() == 6

    def test_a_job_that_was_cancelled_meanwhile_starts_nothing(self) -> None:
        rig = _make_rig_with_lasting_tasks()
        start_count = len(rig.starts)
        rig.executor_by_id["e1"].fail_lasting_runs()
        rig.store_is_up = False
        rig.run(0.5)
        rig.cancel("00000000000000a1")
        rig.store_is_up = True
        rig.run(1)
        assert len(rig.starts) == start_count
        assert rig.count_lasting_runs() == 0


def _list_without(rig: cell_rig.CellRig, executor_id: str) -> None:
    """Lists all executors but one."""
    rig.scheduler.set_executors(
        [
            each.entry
            for each in rig.executor_by_id.values()
            if each.entry.id != executor_id
        ],
        build.clock_readings_at(rig.now_s),
    )


class TestReturningExecutors:
    """An executor that was gone from the list has no bound once it is back."""

    @pytest.mark.parametrize("silent_s", [0.1, 1.0])
    @pytest.mark.parametrize("resigns", [True, False])
    def test_its_new_runs_are_not_started_twice(
        self, resigns: bool, silent_s: float
    ) -> None:
        rig = _make_rig_with_lasting_tasks()
        executor = rig.executor_by_id["e0"]
        executor.is_answering = False
        rig.run(_NOTICE_S)
        for _ in range(9):
            _list_without(rig, "e0")
            rig.run(1)
        assert "e0" not in rig.scheduler.cell.executor_by_id
        executor.is_answering = True
        rig.list_executors()
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=2, runs_until_cancelled=True),
                job_id="b" * 16,
                in_queue=build.queue("watch"),
            )
        )
        rig.run(2)
        assert executor.run_by_key
        assert "e0" not in _read_record(rig).bound_by_executor
        executor.is_answering = False
        if resigns:
            rig.resign()
        else:
            rig.take_over()
        rig.run(silent_s)
        executor.is_answering = True
        rig.run(12)
        assert rig.count_lasting_runs() == 8


class TestShortTerms:
    """Terms that end before any executor is found silent keep the bounds."""

    @pytest.mark.parametrize("term_s", [0.1, 0.4, 0.8])
    @pytest.mark.parametrize("count", [1, 3, 8])
    def test_lost_schedulers_do_not_add_up(
        self, count: int, term_s: float
    ) -> None:
        rig = _make_rig_with_lasting_tasks()
        _lose_executor(rig)
        lost_s = rig.now_s
        rig.run(_NOTICE_S)
        for _ in range(count):
            rig.take_over()
            rig.run(term_s)
        while rig.count_lasting_runs() < 6:
            rig.step()
            assert rig.now_s - lost_s < _MAX_GAP_S


class TestInstancesThatStartedSince:
    """An instance that has not read the renewal of a bound waits no longer."""

    @pytest.mark.parametrize("is_resignation", [False, True])
    def test_take_overs_by_them_do_not_add_up(
        self, *, is_resignation: bool
    ) -> None:
        rig = _make_rig_with_lasting_tasks()
        _lose_executor(rig)
        lost_s = rig.now_s
        rig.run(_NOTICE_S)
        while rig.count_lasting_runs() < 6:
            rig.history.clear()
            rig.run(1.5)
            assert rig.now_s - lost_s < _MAX_GAP_S
            if is_resignation:
                rig.resign()
            else:
                rig.take_over()


class TestEarlierVersions:
    """A scheduler of an earlier version stores no executors of tasks."""

    def test_stored_executors_from_before_it_are_not_trusted(self) -> None:
        rig = cell_rig.CellRig(
            *(build.executor_entry(f"e{number}") for number in range(3))
        )
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=1, runs_until_cancelled=True),
                in_queue=build.queue("watch"),
            )
        )
        rig.run(2)
        (first,) = (e for e in rig.executor_by_id.values() if e.run_by_key)
        stored = dict(rig.store)
        # The records of this term are taken back, as the earlier version would
        # not have written them.
        rig.bounded_since_epoch = rig.epoch + 2
        rig.take_over()
        rig.run(1)
        first.is_up = False
        first.run_by_key.clear()
        rig.list_executors()
        rig.run(9)
        (second,) = (
            e for e in rig.executor_by_id.values() if e.is_up and e.run_by_key
        )
        for key in ("p.00000000000000a1", "silent"):
            rig.store[key] = stored[key]
        first.restart()
        first.is_up = True
        second.is_answering = False
        rig.take_over()
        rig.run(1)
        rig.take_over()
        rig.run(12)
        assert rig.count_lasting_runs() == 1


class TestHeldStarts:
    """A start that waited for the store is sent only if it is in order."""

    def test_none_is_sent_to_an_executor_that_drains_meanwhile(self) -> None:
        rig = cell_rig.CellRig(
            *(build.executor_entry(f"e{number}") for number in range(2))
        )
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=4, runs_until_cancelled=True),
                in_queue=build.queue("watch"),
            )
        )
        # The job is stored; the batch with its starts is under way.
        rig.run(cell_rig.STEP_S)
        rig.store_is_up = False
        rig.run(0.2)
        now = build.clock_readings_at(rig.now_s)
        batch = rig.scheduler.take_batch()
        assert batch is not None
        assert {each.executor for each in batch.starts} == {"e0", "e1"}
        draining = rig.executor_by_id["e0"]
        draining.entry = dataclasses.replace(draining.entry, is_draining=True)
        rig.list_executors()
        rig.scheduler.handle_batch_stored(batch, now)
        started_on = {
            each.executor
            for each in rig.scheduler.take_orders()
            if isinstance(each, _orders.StartOrder)
        }
        assert started_on == {"e1"}


class TestEndedLives:
    """Nobody waits for an executor whose address another one has taken."""

    def _lose_to_another(self) -> cell_rig.CellRig:
        """Returns a rig whose executor e0 is lost and refused at its address.

        It had been up for long, so that its clock was far ahead.
        """
        rig = _make_rig_with_lasting_tasks()
        rig.run(60)
        _lose_executor(rig)
        rig.scheduler.handle_renewal_failure(
            _orders.RenewalOrder("e0", None, 0, 0),
            build.clock_readings_at(rig.now_s),
            is_other_incarnation=True,
        )
        return rig

    def test_no_later_scheduler_does(self) -> None:
        rig = self._lose_to_another()
        rig.run(_NOTICE_S)
        assert "e0" not in _read_record(rig).bound_by_executor
        times = _limits.LeaseTimes()
        longest_run_s = rig.scheduler.longest_run_s(
            build.clock_readings_at(rig.now_s)
        )
        assert longest_run_s <= times.lease_s * _limits.MAX_CLOCK_SLOWNESS

    def test_its_tasks_do_not(self) -> None:
        rig = self._lose_to_another()
        rig.run(0.5)
        assert rig.count_lasting_runs() == 6


class TestStartLostWithItsExecutor:
    """A start without an answer holds up its task no longer than its executor.

    Another executor at the address shows that the process is gone.
    """

    def test_its_task_starts_elsewhere_at_once(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e0"))
        rig.run(1)
        rig.loses_next_start = True
        rig.submit(build.accepted_job())
        rig.run(2 * cell_rig.STEP_S)
        executor = rig.scheduler.cell.executor_by_id["e0"]
        (run,) = executor.run_by_key.values()
        assert run.phase is _runs.RunPhase.UNSETTLED
        rig.add_executor(build.executor_entry("e1"))
        _lose_executor(rig)
        rig.scheduler.handle_renewal_failure(
            _orders.RenewalOrder("e0", None, 0, 0),
            build.clock_readings_at(rig.now_s),
            is_other_incarnation=True,
        )
        rig.run(1)
        assert [executor_id for _, executor_id, _ in rig.starts] == ["e1"]
