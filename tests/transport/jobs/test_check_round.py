"""Tests of checks whose answers are lost."""

from collections.abc import Iterator
import time
from typing import Any

import pytest

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _renewals
from basiljunction.transport.jobs import _check_round
from basiljunction.transport.jobs import _checked_calls
from basiljunction.transport.jobs import _order_sender
import order_rig
import platform_standin
import workload_builders as build

_WAIT_S = 3.0
"""Longest wait for what is expected, in seconds."""

_CHECK_S = _checked_calls.MAX_CHECK_SHARE * _order_sender.ORDER_TIMEOUT_S
"""Time after which a check is given up, in seconds."""


class _LossyExecutor:
    """An executor that does not answer some checks.

    Attributes:
        lost_checks: Number of checks that get no answer.
        checks: Bodies of the checks that it received.
        results: Results of the starts.
    """

    def __init__(
        self, rig: order_rig.OrderRig, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.lost_checks = 0
        self.checks: list[dict[str, Any]] = []
        self.results: list[_orders.StartResult] = []
        handle = rig.scheduler.handle_start_answer

        def receive(
            _: platform_standin.Executor, path: str, body: dict[str, Any]
        ) -> None:
            if path == "/hold" and body["WaitMs"] == 0:
                self.checks.append(body)
                if len(self.checks) <= self.lost_checks:
                    time.sleep(2 * _CHECK_S)

        def record(
            order: _orders.StartOrder,
            result: _orders.StartResult,
            *rest: Any,
            **options: Any,
        ) -> None:
            self.results.append(result)
            handle(order, result, *rest, **options)

        monkeypatch.setattr(platform_standin.Executor, "receive", receive)
        monkeypatch.setattr(rig.scheduler, "handle_start_answer", record)


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform of one executor."""
    platform = platform_standin.Platform(executors=1)
    yield platform
    platform.close()


@pytest.fixture
def rig(platform: platform_standin.Platform) -> Iterator[order_rig.OrderRig]:
    """A scheduler that knows the executor."""
    port = platform.executors[0].httpd.server_address[1]
    rig = order_rig.OrderRig()
    rig.list_executors(
        [
            build.executor_entry(
                platform.executors[0].id, address=f"127.0.0.1:{port}"
            )
        ]
    )
    rig.run_until(lambda: rig.count_answering() == 1, limit_s=_WAIT_S)
    rig.count_answers_for(0.3)
    yield rig
    rig.close()


@pytest.fixture
def executor(
    rig: order_rig.OrderRig, monkeypatch: pytest.MonkeyPatch
) -> _LossyExecutor:
    """The executor, which gets no more renewals but the one on its way."""
    monkeypatch.setattr(
        _renewals.LeaseRenewals, "_send_renewal", lambda *_: None
    )
    return _LossyExecutor(rig, monkeypatch)


def _start(rig: order_rig.OrderRig, executor: _LossyExecutor) -> float:
    """Lets a task start; returns how long its order took, in seconds."""
    rig.submit(
        build.accepted_job(
            build.step_spec(runs_until_cancelled=True), payload="lasts"
        )
    )
    began_s = time.monotonic()
    rig.run_until(lambda: bool(executor.results), limit_s=_WAIT_S)
    return time.monotonic() - began_s


class TestLostAnswer:
    """A check whose answer is lost costs neither the start nor the executor."""

    @pytest.mark.parametrize(
        "lost_checks", range(1, _check_round.MAX_CHECKS_AT_ONCE)
    )
    def test_the_start_is_sent_in_time(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        executor: _LossyExecutor,
        lost_checks: int,
    ) -> None:
        executor.lost_checks = lost_checks
        took_s = _start(rig, executor)
        assert executor.results == [_orders.StartResult.STARTED]
        assert took_s < _CHECK_S
        assert len(executor.checks) > lost_checks
        assert len(platform.starts) == 1

    def test_no_check_but_the_first_is_sent_where_answers_come(
        self, rig: order_rig.OrderRig, executor: _LossyExecutor
    ) -> None:
        _start(rig, executor)
        rig.count_answers_for(_CHECK_S)
        assert executor.results == [_orders.StartResult.STARTED]
        assert len(executor.checks) == 1

    def test_further_checks_have_no_deadline_and_acknowledge_nothing(
        self, rig: order_rig.OrderRig, executor: _LossyExecutor
    ) -> None:
        executor.lost_checks = 1
        _start(rig, executor)
        assert len(executor.checks) > 1
        assert all("DeadlineMs" not in body for body in executor.checks)
        assert {body["LastSeen"] for body in executor.checks} == {0}


class TestSilentExecutor:
    """An executor that answers no check is noticed as soon as before."""

    def test_its_start_is_given_up_with_the_first_check(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        executor: _LossyExecutor,
    ) -> None:
        executor.lost_checks = 100
        took_s = _start(rig, executor)
        assert executor.results == [_orders.StartResult.UNHEALTHY]
        assert took_s < _CHECK_S + 0.3
        assert len(executor.checks) <= _check_round.MAX_CHECKS_AT_ONCE
        assert platform.starts == []


class TestFencedCheck:
    """A check that a later order of the term fenced off ends no term."""

    def test_a_start_that_was_added_since_does_not_either(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        executor: _LossyExecutor,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        # The renewal on its way is fenced off, too.
        monkeypatch.setattr(rig.scheduler, "handle_fence", lambda *_: None)
        executor.lost_checks = 1
        small = build.step_spec().size
        step = build.step_spec(
            size=type(small)(10, 1, 0), runs_until_cancelled=True
        )
        rig.submit(build.accepted_job(step, job_id="a1", payload="lasts"))
        rig.run_until(lambda: len(executor.checks) == 1, limit_s=_WAIT_S)
        cell = rig.scheduler.cell
        state = cell.executor_by_id[platform.executors[0].id]
        cell.begin_order_generation(state)
        token = _limits.fencing_token(cell.epoch, state.generation)
        platform.executors[0].highest_token = token
        rig.submit(build.accepted_job(step, job_id="a2", payload="lasts"))
        rig.run_until(lambda: len(executor.results) == 2, limit_s=_WAIT_S)
        assert len(executor.results) == 2
        assert not cell.is_fenced

    def test_a_later_term_does(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        executor: _LossyExecutor,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(rig.scheduler, "handle_fence", lambda *_: None)
        cell = rig.scheduler.cell
        platform.executors[0].highest_token = _limits.fencing_token(
            cell.epoch + 1, 0
        )
        _start(rig, executor)
        assert executor.results == [_orders.StartResult.FENCED]
        assert cell.is_fenced

    def test_one_that_is_answered_in_full_counts(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        executor: _LossyExecutor,
    ) -> None:
        executor.lost_checks = 1
        rig.submit(
            build.accepted_job(
                build.step_spec(runs_until_cancelled=True), payload="lasts"
            )
        )
        rig.run_until(lambda: len(executor.checks) == 1, limit_s=_WAIT_S)
        cell = rig.scheduler.cell
        cell.begin_order_generation(
            cell.executor_by_id[platform.executors[0].id]
        )
        rig.run_until(lambda: bool(executor.results), limit_s=_WAIT_S)
        assert executor.results == [_orders.StartResult.STARTED]
