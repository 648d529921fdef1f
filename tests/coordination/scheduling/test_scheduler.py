"""Tests of the scheduler of one cell."""

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_State = _progress.JobState


class TestPath:
    """A job runs from its acceptance to its final state."""

    def test_steps_run_in_order_and_the_job_completes(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        accepted = build.accepted_job(
            build.step_spec(count=3), build.step_spec(count=2, after=(0,))
        )
        rig.submit(accepted)
        rig.run(4)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        steps = [order.task.step for _, _, order in rig.starts]
        assert steps == [0, 0, 0, 1, 1]

    def test_nothing_starts_before_the_job_is_stored(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        rig.store_is_up = False
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.run(2)
        assert rig.starts == []
        assert rig.scheduler.visible_state(accepted.id) is None
        rig.store_is_up = True
        rig.run(3)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED

    def test_a_final_state_is_not_shown_before_it_is_stored(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.run(0.3)
        rig.store_is_up = False
        rig.run(2)
        assert rig.scheduler.visible_state(accepted.id) is _State.RUNNING

    def test_an_end_is_acknowledged_only_once_it_is_stored(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        rig.submit(build.accepted_job())
        rig.run(0.3)
        rig.store_is_up = False
        rig.run(2)
        executor = rig.executor_by_id["e1"]
        assert executor.end_count == 1
        assert executor.acknowledged == 0
        rig.store_is_up = True
        rig.run(2)
        assert executor.acknowledged == 1

    def test_a_repeated_submission_stays_one_job(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.submit(accepted)
        rig.run(0.2)
        assert rig.scheduler.submit_job(
            accepted, build.clock_readings_at(rig.now_s)
        ) is (_orders.SubmitResult.ACCEPTED)
        rig.run(3)
        assert len(rig.starts) == 1

    def test_a_job_that_fits_nowhere_is_refused_at_once(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        too_large = build.accepted_job(
            build.step_spec(size=_job_spec.Resources(5000, 1, 0))
        )
        assert rig.scheduler.submit_job(
            too_large, build.clock_readings_at(rig.now_s)
        ) is (_orders.SubmitResult.NEVER_FITS)

    def test_a_task_is_given_up_after_its_attempts(self) -> None:
        rig = cell_rig.CellRig(fail_share=1.0)
        rig.run(1)
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.run(12)
        assert rig.scheduler.visible_state(accepted.id) is _State.FAILED
        assert len(rig.starts) == build.queue().max_attempts

    def test_each_attempt_is_made_on_another_executor(self) -> None:
        """An executor on which every task fails costs only one attempt."""
        rig = cell_rig.CellRig(
            *(build.executor_entry(f"e{number}") for number in range(3)),
            fail_share=1.0,
        )
        rig.run(1)
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.run(12)
        executors = [executor for _, executor, _ in rig.starts]
        assert sorted(executors) == ["e0", "e1", "e2"]

    def test_a_retry_waits_a_moment_for_another_executor(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e0"), build.executor_entry("e1")
        )
        rig.run(1)
        size = _job_spec.Resources(4000, 1000, 0)
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    size=size, runs_until_cancelled=True, may_be_away=1
                ),
                job_id="00000000000000b2",
            )
        )
        rig.run(0.3)
        rig.fail_share = 1.0
        rig.submit(build.accepted_job(build.step_spec(size=size)))
        rig.run(1.5)
        assert len(rig.starts) == 2
        rig.run(1.5)
        assert len(rig.starts) > 2

    def test_a_task_that_lasts_is_started_again(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = build.accepted_job(
            build.step_spec(runs_until_cancelled=True)
        )
        rig.submit(accepted)
        rig.run(1)
        rig.executor_by_id["e1"].restart()
        rig.run(4)
        assert len(rig.starts) == 2
        assert len(rig.executor_by_id["e1"].run_by_key) == 1

    def test_a_cancelled_job_is_stopped_once_that_is_stored(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = build.accepted_job(
            build.step_spec(runs_until_cancelled=True)
        )
        rig.submit(accepted)
        rig.run(1)
        rig.cancel(accepted.id)
        rig.run(1)
        assert rig.executor_by_id["e1"].run_by_key == {}
        assert rig.scheduler.visible_state(accepted.id) is _State.CANCELLED

    def test_a_scheduled_occurrence_waits_for_its_time(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        rig.submit(
            build.accepted_job(
                repeat_count=2,
                first_due_wall_s=build.START_WALL_S + 3.0,
                interval_s=2.0,
            )
        )
        rig.run(8)
        assert [order.task.occurrence for _, _, order in rig.starts] == [0, 1]
        assert [
            begin_s >= 3.0 + 2.0 * k - 1e-6
            for k, (begin_s, _, _) in enumerate(rig.starts)
        ] == [True, True]

    def test_all_members_of_a_gang_start_with_one_number(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        rig.submit(build.accepted_job(build.step_spec(count=8, gang=True)))
        rig.run(0.3)
        assert len(rig.starts) == 8
        assert len({order.run for _, _, order in rig.starts}) == 1

    def test_a_gang_that_does_not_fit_whole_starts_nothing(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        rig.submit(build.accepted_job(build.step_spec(count=5, gang=True)))
        rig.run(2)
        assert rig.starts == []


class TestRecovery:
    """Accepted jobs survive the loss of the scheduler."""

    def test_a_running_task_is_adopted_not_started_again(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        rig.submit(
            build.accepted_job(build.step_spec(runs_until_cancelled=True))
        )
        rig.run(1)
        rig.take_over()
        rig.run(3)
        assert len(rig.starts) == 1
        assert len(rig.executor_by_id["e1"].run_by_key) == 1

    def test_tasks_beside_an_adopted_one_still_start(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = build.accepted_job(build.step_spec(count=6))
        rig.submit(accepted)
        rig.run(0.2)
        assert len(rig.starts) == 4
        rig.take_over()
        rig.run(4)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        assert len(rig.starts) == 6

    def test_an_end_that_was_not_noted_is_found_again(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.run(0.3)
        rig.store_is_up = False
        rig.run(0.6)
        rig.store_is_up = True
        rig.take_over()
        rig.run(2)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        assert len(rig.starts) == 1

    def test_a_silent_executor_holds_up_old_jobs_but_not_new_ones(
        self,
    ) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        old = build.accepted_job(
            build.step_spec(count=8, runs_until_cancelled=True)
        )
        rig.submit(old)
        rig.run(1)
        rig.executor_by_id["e2"].is_answering = False
        rig.take_over()
        new = build.accepted_job(job_id="00000000000000b2")
        rig.cancel(old.id)
        rig.run(2)
        rig.submit(new)
        rig.run(2)
        assert rig.scheduler.visible_state(new.id) is _State.COMPLETED

    def test_a_failure_that_is_listed_again_counts_once(self) -> None:
        """The progress was stored, but the acknowledgement was lost."""
        rig = cell_rig.CellRig(
            *(build.executor_entry(f"e{number}") for number in range(4)),
            fail_share=1.0,
        )
        for executor in rig.executor_by_id.values():
            executor.keeps_acknowledged_ends = True
        rig.run(1)
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.run(0.9)
        assert len(rig.starts) == 2
        rig.take_over()
        rig.run(8)
        assert rig.scheduler.visible_state(accepted.id) is _State.FAILED
        assert len(rig.starts) == build.queue().max_attempts

    def test_failures_that_a_predecessor_could_not_store_count(self) -> None:
        """The predecessor kept starting runs while the store was down."""
        rig = cell_rig.CellRig(
            *(build.executor_entry(f"e{number}") for number in range(4)),
            fail_share=1.0,
        )
        rig.run(1)
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.run(0.3)
        rig.store_is_up = False
        while len(rig.starts) < build.queue().max_attempts:
            rig.run(0.1)
        # The successor receives the last run, still running, before the ends.
        *ended, _ = (executor for _, executor, _ in rig.starts)
        for executor in ended:
            rig.executor_by_id[executor].is_answering = False
        rig.store_is_up = True
        rig.take_over()
        rig.run(0.1)
        for executor in ended:
            rig.executor_by_id[executor].is_answering = True
        rig.run(8)
        assert rig.scheduler.visible_state(accepted.id) is _State.FAILED
        assert len(rig.starts) == build.queue().max_attempts

    def test_run_numbers_rise_over_take_overs(self) -> None:
        rig = cell_rig.CellRig(fail_share=1.0)
        rig.run(1)
        rig.submit(build.accepted_job())
        rig.run(0.8)
        rig.take_over()
        rig.run(6)
        numbers = [order.run for _, _, order in rig.starts]
        assert numbers == sorted(set(numbers))
        assert len(numbers) > 1


class TestSilentExecutors:
    """Tasks of a lost executor start elsewhere exactly once."""

    def test_tasks_start_elsewhere_after_the_lease(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=4, runs_until_cancelled=True)
            )
        )
        rig.run(1)
        lost_executor = rig.executor_by_id["e1"]
        moved_count = len(lost_executor.run_by_key)
        assert moved_count
        lost_executor.is_up = False
        lost_executor.run_by_key.clear()
        rig.list_executors()
        start_count = len(rig.starts)
        # The lease, its safety margin and one renewal in flight.
        rig.run(7)
        assert len(rig.starts) == start_count + moved_count

    def test_a_cut_shorter_than_the_lease_moves_nothing(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=4, runs_until_cancelled=True)
            )
        )
        rig.run(1)
        start_count = len(rig.starts)
        rig.executor_by_id["e1"].is_answering = False
        rig.run(3)
        rig.executor_by_id["e1"].is_answering = True
        rig.run(6)
        assert len(rig.starts) == start_count


class TestTerm:
    """A scheduler acts only while its term is confirmed."""

    def test_leases_end_with_the_confirmation_of_the_term(self) -> None:
        """A successor waits exactly until the leases have expired."""
        rig = cell_rig.CellRig()
        rig.run(1)
        rig.submit(
            build.accepted_job(build.step_spec(runs_until_cancelled=True))
        )
        rig.run(1)
        rig.store_is_up = False
        rig.run(4.5)
        assert len(rig.executor_by_id["e1"].run_by_key) == 1
        # The term stays confirmed for 5 s; the lease lasts 5 s more.
        rig.run(6)
        assert rig.executor_by_id["e1"].run_by_key == {}

    def test_nothing_starts_without_confirmation(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = build.accepted_job()
        rig.submit(accepted)
        rig.run(0.05)
        rig.term_confirmed_s = -10.0
        rig.store_is_up = False
        rig.run(3)
        assert len(rig.starts) <= 1

    def test_a_draining_executor_gets_no_work(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1", is_draining=True),
            build.executor_entry("e2"),
        )
        rig.run(1)
        rig.submit(build.accepted_job(build.step_spec(count=6)))
        rig.run(3)
        assert {executor for _, executor, _ in rig.starts} == {"e2"}


class TestStandingStill:
    """Tasks on an executor that makes no progress start elsewhere."""

    @pytest.mark.parametrize("lasts", [False, True])
    def test_they_are_stopped_and_started_on_another(self, lasts: bool) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        rig.executor_by_id["e1"].is_hanging = True
        accepted = build.accepted_job(
            build.step_spec(count=6, runs_until_cancelled=lasts)
        )
        rig.submit(accepted)
        # Detection takes 1.6 or 3 s, then come a report interval of 1 s, the
        # stop and 0.5 s of work.
        rig.run(6)
        working = rig.executor_by_id["e2"].run_by_key
        state = rig.scheduler.visible_state(accepted.id)
        assert len(working) == 4 if lasts else state is _State.COMPLETED


# The seeds beyond the range were found by longer searches.
# Seed 49 guards against a restarted executor accepting a start whose deadline
# was on the clock of its previous incarnation. Seeds 837 and 1470 guard against
# a retried renewal acknowledging ends of the previous incarnation.
@pytest.mark.parametrize("seed", [*range(40), 49, 837, 1470])
class TestFaults:
    """No invariant is violated despite lost answers and late orders."""

    def test_lost_answers_late_orders_restarts_and_take_overs(
        self, seed: int
    ) -> None:
        rig = cell_rig.CellRig(
            *(build.executor_entry(f"e{number}") for number in range(4)),
            seed=seed,
            fail_share=0.05,
        )
        rig.run(1)
        rng = rig.rng
        rig.lost_share = 0.1
        rig.delayed_share = 0.1
        for number in range(20):
            rig.submit(
                build.accepted_job(
                    build.step_spec(
                        count=rng.randint(1, 4), speculative=number % 3 == 0
                    ),
                    build.step_spec(count=2, after=(0,), checkpoints=True),
                    build.step_spec(
                        count=1, runs_until_cancelled=number % 4 == 0
                    ),
                    job_id=f"{number:016x}",
                )
            )
            rig.run(rng.uniform(0.1, 1.0))
            match rng.randrange(8):
                case 0:
                    rig.take_over()
                case 1:
                    rng.choice(list(rig.executor_by_id.values())).restart()
                case 2:
                    rig.store_is_up = not rig.store_is_up
                case 3:
                    executor = rng.choice(list(rig.executor_by_id.values()))
                    executor.is_answering = not executor.is_answering
                case 4:
                    rig.cancel(f"{rng.randrange(number + 1):016x}")
        rig.lost_share = rig.delayed_share = 0.0
        rig.store_is_up = True
        for executor in rig.executor_by_id.values():
            executor.is_answering = True
        rig.run(30)
        unfinished = [
            job_id
            for job_id, spec in rig.spec_by_job.items()
            if job_id in rig.stored_jobs
            and not spec.has_lasting_step
            and rig.scheduler.visible_state(job_id)
            not in (_State.COMPLETED, _State.FAILED, _State.CANCELLED)
        ]
        assert unfinished == []
