"""Tests of the stand-in for an executor."""

from concurrent import futures

from basiljunction.standin import _executor
from basiljunction.standin import _interference
from standin import requests


def _make_executor(service_s: float) -> _executor.ExecutorStandIn:
    """Returns a stand-in executor with a service time of `service_s`."""
    return _executor.ExecutorStandIn(
        "e",
        interference=_interference.SimulatedInterference(1),
        seed=1,
        service_s=service_s,
    )


class TestSlots:
    """A request beyond the number of slots is refused and not run."""

    def test_above_the_slots(self) -> None:
        executor = _make_executor(0.0)
        executor.faults.switch_on("hang", for_s=60)
        with futures.ThreadPoolExecutor(_executor.SLOT_COUNT) as pool:
            pending = [
                pool.submit(requests.call_stand_in, executor, "/run", data=b"x")
                for _ in range(_executor.SLOT_COUNT)
            ]
            while len(executor.journal.events()) < _executor.SLOT_COUNT:
                futures.wait(pending, timeout=0.01)
            status, body = requests.call_stand_in(executor, "/run", data=b"y")
            executor.faults.switch_on("hang", for_s=0)
        assert (status, body["reason"]) == (503, "slots")
        assert [wait.result()[0] for wait in pending] == [
            200
        ] * _executor.SLOT_COUNT

    def test_the_slot_is_free_before_the_answer(self) -> None:
        executor = _make_executor(0.0)
        requests.call_stand_in(executor, "/run", data=b"x")
        last = executor.journal.events()[-1]
        assert (last["event"], last["slots_in_use"]) == ("end", 0)


class TestAnswer:
    """The answer echoes the request id and the customer of the request."""

    def test_echo(self) -> None:
        headers = {"X-Request-Id": "r1", "X-Customer": "kowhai"}
        executor = _make_executor(0.0)
        _, body = requests.call_stand_in(
            executor, "/run", data=b"x", headers=headers
        )
        assert (body["request_id"], body["customer"]) == ("r1", "kowhai")
