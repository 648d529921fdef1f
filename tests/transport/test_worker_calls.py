"""Tests of the calls to workers over real sockets on loopback."""

from collections.abc import Iterator
from concurrent import futures

import pytest

from basiljunction.coordination import _batch_events
from basiljunction.standin import _interference
from basiljunction.standin import _server
from basiljunction.standin import _worker
from basiljunction.state import _job
from basiljunction.state import _outcomes
from basiljunction.transport import _worker_calls
import fakes
import resetting_server

_State = _batch_events.WorkerTaskState


class _ResultDiscarder:
    """Discards the results that WorkerCalls reports."""

    def tell(self, message: object) -> None:
        """Discards a result; the tests use the return value of call()."""


@pytest.fixture
def slow_worker() -> Iterator[str]:
    """Serves a worker that hangs for 1.5 s, and provides its address."""
    worker = _worker.WorkerStandIn(
        "w", interference=_interference.SimulatedInterference(1), seed=1
    )
    worker.faults.switch_on("hang", for_s=1.5)
    server = _server.StandInServer([worker])
    with futures.ThreadPoolExecutor(1) as pool:
        pool.submit(server.serve)
        yield f"{server.address}/w"
        server.stop()


class TestSlowAnswer:
    """A slow answer that arrives within the deadline is returned."""

    def test_list(self, slow_worker: str) -> None:
        with futures.ThreadPoolExecutor(1) as pool:
            calls = _worker_calls.WorkerClient(
                pool=pool, clock=fakes.FakeClock(), recipient=_ResultDiscarder()
            )
            call = _batch_events.CallWorker(
                "w", slow_worker, _batch_events.ListTasks(), float("inf")
            )
            result = calls.call(call)
        assert isinstance(result, _batch_events.WorkerAnswered)


def _call_worker(
    address: str,
    request: _batch_events.WorkerRequest,
    not_after_boot_s: float = float("inf"),
) -> object:
    """Calls the worker on this thread and returns the result."""
    with futures.ThreadPoolExecutor(1) as pool:
        calls = _worker_calls.WorkerClient(
            pool=pool, clock=fakes.FakeClock(), recipient=_ResultDiscarder()
        )
        return calls.call(
            _batch_events.CallWorker("w", address, request, not_after_boot_s)
        )


_TASK_REF = _batch_events.TaskRef("job/day", 1)
_START = _batch_events.StartTask(
    ref=_TASK_REF,
    demand=_job.ResourceDemand(1000, 1024),
    run_time_s=60.0,
    checkpoint="",
    progress_s=0.0,
    payload="",
    lease_s=30.0,
    customer="kowhai",
    class_name="coding",
)


@pytest.fixture
def worker() -> Iterator[tuple[str, _worker.WorkerStandIn]]:
    """Serves a worker, and provides its address and the worker."""
    served = _worker.WorkerStandIn(
        "w", interference=_interference.SimulatedInterference(1), seed=1
    )
    server = _server.StandInServer([served])
    with futures.ThreadPoolExecutor(1) as pool:
        pool.submit(server.serve)
        yield f"{server.address}/w", served
        server.stop()


class TestOutcome:
    """Each call ends as answered, not called, or lost (effect unknown)."""

    def test_start_renew_stop(
        self, worker: tuple[str, _worker.WorkerStandIn]
    ) -> None:
        address, _ = worker
        started = _call_worker(address, _START)
        assert started == _batch_events.WorkerAnswered("w", _START)
        renewed = _call_worker(
            address, _batch_events.RenewLeases((_TASK_REF,), 30.0)
        )
        assert isinstance(renewed, _batch_events.WorkerAnswered)
        assert renewed.reports[0].ref == _TASK_REF
        assert renewed.reports[0].state is _State.RUNNING
        stopped = _call_worker(address, _batch_events.StopTask(_TASK_REF))
        assert isinstance(stopped, _batch_events.WorkerAnswered)
        again = _call_worker(address, _START)
        assert isinstance(again, _batch_events.WorkerAnswered)
        assert again.refusal

    def test_late_call_is_not_sent(
        self, worker: tuple[str, _worker.WorkerStandIn]
    ) -> None:
        address, _ = worker
        result = _call_worker(address, _START, not_after_boot_s=0.0)
        assert isinstance(result, _batch_events.WorkerNotCalled)
        assert result.outcome.reason is _outcomes.Reason.LEASE_LAPSED
        assert result.outcome.step is _outcomes.Step.START
        listed = _call_worker(address, _batch_events.ListTasks())
        assert isinstance(listed, _batch_events.WorkerAnswered)
        assert listed.reports == ()

    def test_lost_answer_is_lost_though_it_took_effect(
        self, worker: tuple[str, _worker.WorkerStandIn]
    ) -> None:
        address, served = worker
        served.faults.switch_on("lose_answers", for_s=0.5)
        result = _call_worker(address, _START)
        assert isinstance(result, _batch_events.WorkerCallLost)
        assert result.outcome.peer == address

    def test_refused_connection_was_not_called(self) -> None:
        result = _call_worker("http://127.0.0.1:9/w", _START)
        assert isinstance(result, _batch_events.WorkerNotCalled)
        assert result.outcome.reason is _outcomes.Reason.CONNECT_FAILED


class TestRepeatedRequests:
    """An answer to a request's second sending says nothing of the first."""

    def _call_twice(
        self,
        server: resetting_server.ResettingServer,
        first: _batch_events.WorkerRequest,
        second: _batch_events.WorkerRequest,
    ) -> object:
        """Makes two calls on one connection; returns the second's result."""
        with futures.ThreadPoolExecutor(1) as pool:
            calls = _worker_calls.WorkerClient(
                pool=pool, clock=fakes.FakeClock(), recipient=_ResultDiscarder()
            )
            for request in (first, second):
                result = calls.call(
                    _batch_events.CallWorker(
                        "w", server.url, request, float("inf")
                    )
                )
        server.close()
        return result

    @pytest.mark.parametrize("later_status", [None, 200, 409, 503])
    def test_a_start_that_may_have_been_read_is_not_sent_again(
        self, later_status: int | None
    ) -> None:
        server = resetting_server.ResettingServer(later_status)
        result = self._call_twice(server, _START, _START)
        assert len(server.received_bodies) == 2
        assert isinstance(result, _batch_events.WorkerCallLost)
        assert result.outcome.reason is _outcomes.Reason.CONNECTION_LOST

    def test_a_renewal_that_may_have_been_read_is_not_reported_as_unsent(
        self,
    ) -> None:
        server = resetting_server.ResettingServer(None)
        result = self._call_twice(
            server, _START, _batch_events.RenewLeases((_TASK_REF,), 30.0)
        )
        assert isinstance(result, _batch_events.WorkerCallLost)

    def test_a_renewal_is_sent_again_on_a_new_connection(self) -> None:
        server = resetting_server.ResettingServer(
            200, later_body=b'{"tasks": []}'
        )
        result = self._call_twice(
            server, _START, _batch_events.RenewLeases((_TASK_REF,), 30.0)
        )
        assert len(server.received_bodies) == 3
        assert isinstance(result, _batch_events.WorkerAnswered)
