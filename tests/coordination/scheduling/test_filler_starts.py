"""Tests of starting fillers where every executor runs a serving task."""

from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _job_spec
import cell_rig
import workload_builders as build

_MAX_IDLE_S = 3.0
"""Longest time for which a job may have nothing running beside free capacity,
in seconds, by the users' rules."""

_CAPACITY = _job_spec.Resources(32_000, 128_000, 0)
_EXECUTOR_COUNT = 4
_FILLER_JOB_ID = "00000000000000f1"


def _make_serving_rig() -> cell_rig.CellRig:
    """Returns a rig with one serving task on each executor.

    They reserve less than a fifth of the capacity.
    """
    rig = cell_rig.CellRig(
        *(
            build.executor_entry(f"e{number}", capacity=_CAPACITY)
            for number in range(_EXECUTOR_COUNT)
        )
    )
    rig.run(1)
    rig.submit(
        build.accepted_job(
            build.step_spec(
                count=_EXECUTOR_COUNT,
                size=_job_spec.Resources(6000, 1000, 0),
                image="serving",
                tail_target_ms=50,
                runs_until_cancelled=True,
                max_per_executor=1,
            )
        )
    )
    rig.run(1)
    assert rig.count_lasting_runs() == _EXECUTOR_COUNT
    return rig


def _submit_fillers(
    rig: cell_rig.CellRig, *, millicores: int, count: int = 1
) -> None:
    """Submits a job of fillers whose image has never run."""
    rig.submit(
        build.accepted_job(
            build.step_spec(
                count=count,
                size=_job_spec.Resources(millicores, 1000, 0),
                image="filler",
                fills=True,
            ),
            job_id=_FILLER_JOB_ID,
        )
    )


def _find_filler_starts(rig: cell_rig.CellRig) -> list[_orders.StartOrder]:
    """Returns the starts of the fillers so far."""
    return [
        order for _, _, order in rig.starts if order.task.job == _FILLER_JOB_ID
    ]


class TestEachExecutorServes:
    """The expected loss of headroom keeps no job from running for long."""

    def test_a_large_filler_starts_while_most_capacity_is_free(self) -> None:
        rig = _make_serving_rig()
        _submit_fillers(rig, millicores=14_000)
        rig.run(_MAX_IDLE_S)
        assert _find_filler_starts(rig)
