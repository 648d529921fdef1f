"""Tests of the reports of executors."""

import pytest

from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec


class TestLeaseRenewalReply:
    """An answer lists at most 500 ends; executors keep the others back."""

    @pytest.mark.parametrize(
        ("count", "may_omit"), [(0, False), (499, False), (500, True)]
    )
    def test_a_full_answer_may_omit_ends(
        self, count: int, *, may_omit: bool
    ) -> None:
        reply = _executor.LeaseRenewalReply(
            clock_ms=1000,
            started_wall_ms=1,
            active_runs=(),
            unacknowledged_ends=tuple(
                _executor.EndedRunReport(
                    list_position=number,
                    task=_job_spec.TaskId("a1", 0, 0, number),
                    run_number=number,
                    kind=_executor.RunEndKind.DONE,
                    checkpoint="",
                )
                for number in range(1, count + 1)
            ),
        )
        assert reply.may_omit_ends is may_omit
