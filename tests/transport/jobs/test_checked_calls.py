"""Tests that orders reach only the known incarnation of an executor."""

from collections.abc import Iterator
import time
from typing import Any

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _renewals
from basiljunction.protocol import _http_call
from basiljunction.state.workload import _executor
from basiljunction.transport import _clock
from basiljunction.transport.jobs import _call_line
from basiljunction.transport.jobs import _checked_calls
from basiljunction.transport.jobs import _http_calls
import cutting_proxy
import order_rig
import platform_standin
import workload_builders as build

_WAIT_S = 3.0
"""Longest wait for what is expected, in seconds."""

_LASTING = build.step_spec(runs_until_cancelled=True)


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform of one executor, whose clock shows a minute."""
    platform = platform_standin.Platform(executors=1)
    platform.executors[0].born_s -= 60.0
    yield platform
    platform.close()


@pytest.fixture
def proxy(
    platform: platform_standin.Platform,
) -> Iterator[cutting_proxy.CuttingProxy]:
    """A proxy to the executor."""
    port = platform.executors[0].httpd.server_address[1]
    proxy = cutting_proxy.CuttingProxy(port)
    yield proxy
    proxy.close()


@pytest.fixture
def rig(
    platform: platform_standin.Platform, proxy: cutting_proxy.CuttingProxy
) -> Iterator[order_rig.OrderRig]:
    """A scheduler that knows the executor."""
    rig = order_rig.OrderRig()
    rig.list_executors(
        [
            build.executor_entry(
                platform.executors[0].id, address=f"127.0.0.1:{proxy.port}"
            )
        ]
    )
    rig.run_until(lambda: rig.count_answering() == 1, limit_s=_WAIT_S)
    rig.count_answers_for(0.3)
    yield rig
    rig.close()


def _restart(
    platform: platform_standin.Platform, proxy: cutting_proxy.CuttingProxy
) -> platform_standin.Executor:
    """Restarts the executor under its id and address; its connections end.

    Returns:
        The next incarnation.
    """
    proxy.part(is_silent=False)
    executor = platform_standin.Executor(platform, 0)
    executor.born_ms += 1
    platform.executors.append(executor)
    proxy.join(executor.httpd.server_address[1])
    return executor


def _hold_back_renewals(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets the scheduler send no renewals from now on."""
    monkeypatch.setattr(
        _renewals.LeaseRenewals, "_send_renewal", lambda *_: None
    )


class _Recorder:
    """Records the calls that an incarnation of an executor carries out.

    Args:
        born_ms: Tells the incarnation.
        monkeypatch: Replaces a method of the stand-in.

    Attributes:
        calls: Path and body of each.
    """

    def __init__(self, born_ms: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.calls: list[tuple[str, dict[str, Any]]] = []
        answer = platform_standin.Executor.answer

        def record(
            executor: platform_standin.Executor, path: str, body: dict[str, Any]
        ) -> tuple[int, Any]:
            if executor.born_ms == born_ms:
                self.calls.append((path, body))
            return answer(executor, path, body)

        monkeypatch.setattr(platform_standin.Executor, "answer", record)


class TestOrderForTheFormerIncarnation:
    """The next incarnation receives nothing that was meant for the one before.

    No answer to a renewal has shown it yet.
    """

    def test_no_start_reaches_the_next_one(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        proxy: cutting_proxy.CuttingProxy,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        _hold_back_renewals(monkeypatch)
        executor = _restart(platform, proxy)
        rig.submit(build.accepted_job(_LASTING, payload="lasts"))
        state = rig.scheduler.cell.executor_by_id[executor.id]
        rig.run_until(lambda: state.clock.restarts > 0, limit_s=_WAIT_S)
        rig.count_answers_for(0.3)
        assert state.clock.restarts == 1
        assert platform.starts == []
        assert rig.list_runs() == []

    def test_none_does_on_a_connection_that_a_check_opened(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        proxy: cutting_proxy.CuttingProxy,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Several starts of one pass are checked one by one."""
        _hold_back_renewals(monkeypatch)
        executor = _restart(platform, proxy)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=4, runs_until_cancelled=True),
                payload="lasts",
            )
        )
        state = rig.scheduler.cell.executor_by_id[executor.id]
        rig.run_until(lambda: state.clock.restarts > 0, limit_s=_WAIT_S)
        rig.count_answers_for(0.3)
        assert platform.starts == []
        assert rig.list_runs() == []

    def test_no_renewal_extends_the_lease_of_the_next_one(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        proxy: cutting_proxy.CuttingProxy,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        recorder = _Recorder(2, monkeypatch)
        executor = _restart(platform, proxy)
        state = rig.scheduler.cell.executor_by_id[executor.id]
        rig.run_until(lambda: state.clock.restarts > 0, limit_s=_WAIT_S)
        rig.count_answers_for(0.3)
        assert state.clock.restarts == 1
        deadlines_ms = [body.get("DeadlineMs", 0) for _, body in recorder.calls]
        assert max(deadlines_ms) < 60_000

    def test_its_task_starts_once_the_next_one_has_listed_its_runs(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        proxy: cutting_proxy.CuttingProxy,
    ) -> None:
        _restart(platform, proxy)
        rig.submit(build.accepted_job(_LASTING, payload="lasts"))
        rig.run_until(lambda: bool(platform.starts), limit_s=_WAIT_S)
        assert len(platform.starts) == 1


class TestStartThatWaitsForAConnection:
    """A start has not been sent while the client waits for a connection."""

    def test_its_task_is_not_blamed_for_a_crash_noticed_meanwhile(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        waiting: list[_http_call.HttpCall] = []
        send = rig._calls.send

        def send_or_wait(call: _http_call.HttpCall, *rest: Any) -> None:
            if call.url.endswith("/run-start"):
                waiting.append(call)
            else:
                send(call, *rest)

        monkeypatch.setattr(rig._calls, "send", send_or_wait)
        job = build.accepted_job(_LASTING, payload="lasts")
        rig.submit(job)
        rig.run_until(lambda: bool(waiting), limit_s=_WAIT_S)
        assert len(waiting) == 1
        executor_id = platform.executors[0].id
        rig.scheduler.handle_incarnation_check(
            executor_id,
            rig.scheduler.cell.executor_by_id[executor_id].clock,
            _executor.LeaseRenewalReply(
                clock_ms=10,
                started_wall_ms=2,
                active_runs=(),
                unacknowledged_ends=(),
            ),
            _clock.SystemClock().now(),
        )
        progress = rig.scheduler.cell.job_by_id[job.id].progress
        assert not progress.crashes_by_position


class TestCheck:
    """A check changes nothing at the executor, and its price is bounded."""

    def _submit_wide(self, rig: order_rig.OrderRig, count: int) -> None:
        """Submits a job whose tasks start together."""
        size = build.step_spec().size
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    count=count,
                    size=type(size)(size.cpu_millicores // count, 1, 0),
                    runs_until_cancelled=True,
                ),
                payload="lasts",
            )
        )

    def test_starts_beside_each_other_all_arrive(
        self, rig: order_rig.OrderRig, platform: platform_standin.Platform
    ) -> None:
        self._submit_wide(rig, 20)
        rig.run_until(lambda: len(platform.starts) == 20, limit_s=_WAIT_S)
        assert len(platform.starts) == 20
        assert len(rig.list_runs()) == 20

    @pytest.mark.parametrize("count", [8, 20])
    def test_those_for_one_executor_open_no_more_connections_than_it_needs(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        proxy: cutting_proxy.CuttingProxy,
        monkeypatch: pytest.MonkeyPatch,
        count: int,
    ) -> None:
        """A check closed the connection that the one before had opened.

        The starts that it was opened for then lacked it, and all were given up,
        over and over.
        """
        monkeypatch.setattr(
            platform_standin.Executor,
            "receive",
            lambda *_: time.sleep(0.02),
        )
        connections: list[object] = []
        connect = proxy._connect

        def record(near: Any) -> Any:
            connections.append(near)
            return connect(near)

        monkeypatch.setattr(proxy, "_connect", record)
        results: list[_orders.StartResult] = []
        handle = rig.scheduler.handle_start_answer

        def handle_and_record(
            order: _orders.StartOrder,
            result: _orders.StartResult,
            *rest: Any,
            **options: Any,
        ) -> None:
            results.append(result)
            handle(order, result, *rest, **options)

        monkeypatch.setattr(
            rig.scheduler, "handle_start_answer", handle_and_record
        )
        self._submit_wide(rig, count)
        rig.run_until(lambda: len(results) >= count, limit_s=_WAIT_S)
        assert results == [_orders.StartResult.STARTED] * count
        assert len(connections) <= _http_calls.MAX_CONNECTIONS_PER_HOST

    def test_it_has_no_deadline_and_acknowledges_nothing(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        _hold_back_renewals(monkeypatch)
        # The renewal on its way is answered.
        rig.count_answers_for(1.2)
        recorder = _Recorder(1, monkeypatch)
        self._submit_wide(rig, 8)
        rig.run_until(lambda: len(platform.starts) == 8, limit_s=_WAIT_S)
        checks = [body for path, body in recorder.calls if path == "/hold"]
        assert checks
        assert all("DeadlineMs" not in body for body in checks)
        assert {body["LastSeen"] for body in checks} == {0}

    def test_later_starts_need_none(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        self._submit_wide(rig, 4)
        rig.run_until(lambda: len(platform.starts) == 4, limit_s=_WAIT_S)
        rig.count_answers_for(0.3)
        checks: list[_call_line.CheckedCall] = []
        check = _checked_calls.CheckedCalls._check

        def record(
            calls: _checked_calls.CheckedCalls, line: _call_line.CallLine
        ) -> None:
            if line.may_check:
                checks.append(line.waiting[0][0])
            check(calls, line)

        monkeypatch.setattr(_checked_calls.CheckedCalls, "_check", record)
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    size=type(build.step_spec().size)(10, 1, 0),
                    runs_until_cancelled=True,
                ),
                job_id="00000000000000a2",
                payload="lasts",
            )
        )
        rig.run_until(lambda: len(platform.starts) == 5, limit_s=_WAIT_S)
        assert len(platform.starts) == 5
        assert checks == []

    def test_a_start_without_an_answer_to_it_is_not_sent(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
        proxy: cutting_proxy.CuttingProxy,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        _hold_back_renewals(monkeypatch)
        proxy.part(is_silent=False)
        results: list[_orders.StartResult] = []
        handle = rig.scheduler.handle_start_answer

        def record(
            order: _orders.StartOrder,
            result: _orders.StartResult,
            *rest: Any,
            **options: Any,
        ) -> None:
            results.append(result)
            handle(order, result, *rest, **options)

        monkeypatch.setattr(rig.scheduler, "handle_start_answer", record)
        rig.submit(build.accepted_job(_LASTING, payload="lasts"))
        rig.run_until(lambda: bool(results), limit_s=_WAIT_S)
        assert results[0] is _orders.StartResult.UNHEALTHY
        assert platform.starts == []
        assert rig.list_runs() == []


class TestConnectionsThatEndAfterEachAnswer:
    """An executor may close a connection once it has answered on it."""

    @pytest.fixture(autouse=True)
    def _close_connections(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Lets the executor close each connection after an answer."""
        send_response = platform_standin._ExecutorHandler.send_response

        def send_response_and_close(
            handler: platform_standin._ExecutorHandler, status: int
        ) -> None:
            send_response(handler, status)
            handler.send_header("Connection", "close")

        monkeypatch.setattr(
            platform_standin._ExecutorHandler,
            "send_response",
            send_response_and_close,
        )

    def test_its_lease_is_extended(
        self,
        rig: order_rig.OrderRig,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        recorder = _Recorder(1, monkeypatch)
        rig.run_until(
            lambda: any("DeadlineMs" in body for _, body in recorder.calls),
            limit_s=_WAIT_S,
        )
        assert any("DeadlineMs" in body for _, body in recorder.calls)

    def test_a_task_starts_on_it(
        self, rig: order_rig.OrderRig, platform: platform_standin.Platform
    ) -> None:
        rig.submit(build.accepted_job(_LASTING, payload="lasts"))
        rig.run_until(lambda: bool(platform.starts), limit_s=_WAIT_S)
        assert len(platform.starts) == 1

    def test_its_run_does_not_lapse(
        self,
        rig: order_rig.OrderRig,
        platform: platform_standin.Platform,
    ) -> None:
        rig.submit(build.accepted_job(_LASTING, payload="lasts"))
        rig.run_until(lambda: bool(platform.starts), limit_s=_WAIT_S)
        lease_s = rig.scheduler.cell.times.lease_s
        rig.run_until(lambda: False, limit_s=lease_s + 1.0)
        (executor,) = platform.executors
        assert len(platform.starts) == 1
        assert len(executor.running) == 1
        assert executor.lease_ms > executor.clock_ms() + 1000 * lease_s / 2
