"""Tests that the rig notices starts that break a rule."""

import dataclasses

import pytest

from basiljunction.coordination.scheduling import _orders
import cell_rig
import workload_builders as build


def _play_until_done(*, loses_lease: bool = False) -> cell_rig.CellRig:
    """Returns a rig whose only task has ended done on executor e1.

    Args:
        loses_lease: Whether the executor is cut off before the end of the run,
            so that its lease lapses before the end is acknowledged.
    """
    rig = cell_rig.CellRig(build.executor_entry("e1"))
    rig.run(1)
    rig.submit(build.accepted_job())
    while not rig.starts:
        rig.step()
    rig.run(0.2)
    rig.executor_by_id["e1"].is_answering = not loses_lease
    rig.run(5.2 if loses_lease else 1.0)
    assert rig.done_tasks
    rig.executor_by_id["e1"].is_answering = True
    while not rig.done_s_by_task:
        rig.step()
    return rig


def _start_again(rig: cell_rig.CellRig) -> None:
    """Lets a second executor start the task that is done."""
    _, _, order = rig.starts[0]
    other = cell_rig.SimulatedExecutor(build.executor_entry("e2"), rig)
    again = dataclasses.replace(
        order,
        executor="e2",
        run=order.run + 1,
        lease_until_ms=int(rig.now_s * 1000) + 5000,
    )
    assert other.start(rig.epoch, again) is _orders.StartResult.STARTED


class TestUnnoticedStartOfTaskThatIsDone:
    """A start of a task that is done passes only beside a lapsed end."""

    def test_it_is_noticed_if_the_end_counts(self) -> None:
        rig = _play_until_done()
        with pytest.raises(AssertionError, match="is done"):
            _start_again(rig)

    def test_it_is_noticed_in_the_tick_that_brings_the_end(self) -> None:
        rig = _play_until_done()
        rig.done_s_by_task.clear()
        with pytest.raises(AssertionError, match="is done"):
            _start_again(rig)

    def test_it_passes_in_the_tick_that_brings_a_lapsed_end(self) -> None:
        rig = _play_until_done(loses_lease=True)
        _start_again(rig)

    def test_it_is_noticed_after_that_tick(self) -> None:
        rig = _play_until_done(loses_lease=True)
        rig.step()
        with pytest.raises(AssertionError, match="is done"):
            _start_again(rig)


class TestGangMemberThatWorksAlone:
    """A run of a gang works, and ends done, only while all others run."""

    def _start_gang(self) -> cell_rig.CellRig:
        """Returns a rig in which both runs of a gang have started."""
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.gangs_run_together = True
        rig.run_time_s = 2.0
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    count=2,
                    gang=True,
                    max_per_executor=1,
                )
            )
        )
        while len(rig.starts) < 2:
            rig.step()
        return rig

    def test_all_end_done(self) -> None:
        rig = self._start_gang()
        rig.run(2.5)
        assert len(rig.done_tasks) == 2

    def test_a_restart_breaks_the_others(self) -> None:
        rig = self._start_gang()
        rig.executor_by_id["e1"].restart()
        rig.step()
        assert not rig.executor_by_id["e2"].run_by_key
        assert not rig.done_tasks


class TestEarlierSchedulerThatIsNotFenced:
    """A scheduler that goes on ends with the first order that is fenced."""

    def test_it_ends(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run(1)
        rig.take_over_beside_earlier(earlier_goes_on_s=5.0)
        assert len(rig.earlier_terms) == 1
        rig.run(1)
        assert not rig.earlier_terms

    def test_it_goes_on_where_its_executor_is_cut_off(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run(1)
        rig.executor_by_id["e1"].is_answering = False
        rig.take_over_beside_earlier(earlier_goes_on_s=5.0)
        rig.run(4)
        assert rig.earlier_terms
        rig.run(2)
        assert not rig.earlier_terms


class TestRefusedStartThatLeavesTheLease:
    """A start that finds no room extends the lease, if the rig is told so."""

    @pytest.mark.parametrize("extends", [False, True])
    def test_the_lease_follows_the_option(self, *, extends: bool) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.refused_starts_extend_lease = extends
        executor = rig.executor_by_id["e1"]
        executor.refuses_for_capacity = True
        rig.run(1)
        rig.submit(build.accepted_job())
        before = executor.refused_count
        lease_ms = executor.lease_ms
        while executor.refused_count == before:
            executor.fails_next_renewal = True
            lease_ms = executor.lease_ms
            rig.step()
        assert (executor.lease_ms > lease_ms) is extends
