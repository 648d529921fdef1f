"""Tests that each start has a higher run number than those before it."""

import pytest

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
import cell_rig
import workload_builders as build

_FEW_RUNS = 4
"""Number of run numbers of a term that a test can use up."""

_RESTART_S = 9.0
"""Time within which a lasting task runs again, in seconds."""


def test_no_start_is_refused_as_old_after_a_term_of_very_many(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A later term's numbers are above all of the one before."""
    monkeypatch.setattr(_limits, "RUNS_PER_EPOCH", _FEW_RUNS)
    rig = cell_rig.CellRig(build.executor_entry())
    executor = rig.executor_by_id["e1"]
    start = executor.start
    results: list[_orders.StartResult] = []

    def record_start(
        token: int, order: _orders.StartOrder
    ) -> _orders.StartResult:
        results.append(start(token, order))
        return results[-1]

    monkeypatch.setattr(executor, "start", record_start)
    rig.submit(build.accepted_job(build.step_spec(runs_until_cancelled=True)))
    for _ in range(2 * _FEW_RUNS):
        rig.run(_RESTART_S)
        executor.fail_lasting_runs()
    rig.take_over()
    rig.run(_RESTART_S)
    assert rig.count_lasting_runs() == 1
    assert set(results) == {_orders.StartResult.STARTED}
