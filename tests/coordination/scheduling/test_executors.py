"""Tests of the state that the scheduler keeps of each executor."""

import dataclasses
import random

import pytest

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
        state.update_listing(
            dataclasses.replace(entry, capacity=larger), now_s=1.0
        )
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


class TestTurnover:
    """Short and vacating CPU follow every run, so no pass adds them up."""

    @pytest.mark.parametrize("seed", range(10))
    def test_the_sums_equal_those_over_all_runs(self, seed: int) -> None:
        rng = random.Random(seed)
        state = _executors.ExecutorState(listing=build.executor_entry())
        stopping = _runs.RunPhase.STOPPING
        for number in range(80):
            runs = list(state.run_by_key.values())
            match rng.choice(("add", "stop", "stop", "remove")):
                case "add":
                    run = _make_run(
                        number,
                        runs_until_cancelled=rng.random() < 0.5,
                        fills=rng.random() < 0.3,
                    )
                    if rng.random() < 0.2:
                        run.phase = stopping
                    state.add_run(run)
                case "stop" if runs:
                    state.stop_run(rng.choice(runs), float(number))
                case "remove" if runs:
                    run = rng.choice(runs)
                    state.remove_run(run)
                    state.stop_run(run, float(number))
            runs = list(state.run_by_key.values())
            assert state.short_millicores == sum(
                run.step.size.cpu_millicores
                for run in runs
                if not run.step.runs_until_cancelled
                and not run.step.fills
                and run.phase is not stopping
            )
            assert state.vacating_millicores == sum(
                run.step.size.cpu_millicores
                for run in runs
                if run.step.runs_until_cancelled and run.phase is stopping
            )
            assert list(state.stopping_run_by_key.values()) == [
                run
                for key, run in state.stopping_run_by_key.items()
                if state.run_by_key.get(key) is run
            ]
            assert {id(run) for run in runs if run.phase is stopping} == {
                id(run) for run in state.stopping_run_by_key.values()
            }

    def test_a_run_stops_once(self) -> None:
        state = _executors.ExecutorState(listing=build.executor_entry())
        run = _make_run(1)
        state.add_run(run)
        state.stop_run(run, 1.0)
        run.next_stop_order_s = float("inf")  # its order is in flight
        state.stop_run(run, 2.0)
        assert run.next_stop_order_s == float("inf")
