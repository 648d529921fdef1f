"""Tests of the stand-in for an executor."""

from concurrent import futures

from basiljunction.standin import _executor
from basiljunction.standin import _interference
from standin import requests


def _executor_of(service_s: float) -> _executor.ExecutorStandIn:
    return _executor.ExecutorStandIn(
        "e",
        interference=_interference.SimulatedInterference(1),
        seed=1,
        service_s=service_s,
    )


class TestSlots:
    """A request above the slots is refused and not run."""

    def test_above_the_slots(self) -> None:
        executor = _executor_of(0.0)
        executor.faults.switch_on("hang", for_s=60)
        with futures.ThreadPoolExecutor(_executor.SLOT_COUNT) as pool:
            waits = [
                pool.submit(requests.call, executor, "/run", data=b"x")
                for _ in range(_executor.SLOT_COUNT)
            ]
            while len(executor.journal.events()) < _executor.SLOT_COUNT:
                futures.wait(waits, timeout=0.01)
            status, body = requests.call(executor, "/run", data=b"y")
            executor.faults.switch_on("hang", for_s=0)
        assert (status, body["reason"]) == (503, "slots")
        assert [wait.result()[0] for wait in waits] == [
            200
        ] * _executor.SLOT_COUNT

    def test_the_slot_is_free_before_the_answer(self) -> None:
        executor = _executor_of(0.0)
        requests.call(executor, "/run", data=b"x")
        last = executor.journal.events()[-1]
        assert (last["event"], last["slots_in_use"]) == ("end", 0)


class TestAnswer:
    """The answer names the request that it answers."""

    def test_echo(self) -> None:
        headers = {"X-Request-Id": "r1", "X-Customer": "kowhai"}
        executor = _executor_of(0.0)
        _, body = requests.call(executor, "/run", data=b"x", headers=headers)
        assert (body["request_id"], body["customer"]) == ("r1", "kowhai")
