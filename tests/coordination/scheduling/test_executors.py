"""Tests of the state that the scheduler keeps of each executor."""

import dataclasses

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _runs
from basiljunction.state.workload import _job_spec
import workload_builders as build


def _make_run(number: int, **changes: object) -> _runs.Run:
    """Returns a run of a task of one core and 1,000 MB."""
    return _runs.Run(
        task=_job_spec.TaskId("00000000000000a1", 0, 0, number),
        number=number,
        executor="i-1",
        step=build.step_spec(**changes),
        phase=_runs.RunPhase.RUNNING,
        phase_since_s=0.0,
    )


class TestCapacity:
    """The free capacity follows every run and every listing."""

    def test_free_capacity_is_what_no_run_has_reserved(self) -> None:
        entry = build.executor_entry()
        state = _executors.ExecutorState(listing=entry)
        run = _make_run(1)
        state.add_run(run)
        state.add_run(_make_run(2))
        state.remove_run(run)
        state.remove_run(run)
        reserved = run.step.reserved_resources
        assert state.free_capacity == entry.capacity - reserved

    def test_a_new_listing_changes_the_free_capacity(self) -> None:
        entry = build.executor_entry()
        state = _executors.ExecutorState(listing=entry)
        run = _make_run(1)
        state.add_run(run)
        larger = _job_spec.Resources(64_000, 250_000, 2)
        state.update_listing(dataclasses.replace(entry, capacity=larger))
        assert state.free_capacity == larger - run.step.reserved_resources

    def test_run_counts_leave_out_jobs_without_runs(self) -> None:
        state = _executors.ExecutorState(listing=build.executor_entry())
        runs = [_make_run(1), _make_run(2)]
        for run in runs:
            state.add_run(run)
        assert state.run_count_by_job == {"00000000000000a1": 2}
        state.remove_run(runs[0])
        state.remove_run(runs[0])
        assert state.run_count_by_job == {"00000000000000a1": 1}
        state.remove_run(runs[1])
        assert state.run_count_by_job == {}

    def test_fillers_leave_the_capacity_but_use_what_is_unused(self) -> None:
        state = _executors.ExecutorState(listing=build.executor_entry())
        unused_millicores = state.unused_millicores
        state.add_run(_make_run(1, fills=True))
        assert state.free_capacity.cpu_millicores == (
            state.listing.capacity.cpu_millicores
        )
        assert state.unused_millicores == unused_millicores - 1000
