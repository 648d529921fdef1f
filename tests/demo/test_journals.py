"""Tests that journals written by the stand-ins are parsed correctly."""

from basiljunction.demo import _journals
from basiljunction.standin import _executor
from basiljunction.standin import _interference
from basiljunction.standin import _worker
from standin import requests

_INTERFERENCE = _interference.SimulatedInterference(1)
_START_BODY = {
    "task_id": "kowhai.job/day",
    "attempt": 1,
    "millicores": 1000,
    "memory_mib": 100,
    "accelerators": 0,
    "run_time_s": 60.0,
    "lease_s": 60.0,
    "customer": "kowhai",
    "class_name": "diary-day-coding",
}


class TestParse:
    """Parsed events are typed and ordered by time."""

    def test_worker_and_executor(self) -> None:
        worker = _worker.WorkerStandIn("w", interference=_INTERFERENCE, seed=1)
        executor = _executor.ExecutorStandIn(
            "e", interference=_INTERFERENCE, seed=1, service_s=0.0
        )
        requests.call_stand_in(worker, "/tasks/start", body=_START_BODY)
        requests.call_stand_in(executor, "/run", data=b"x")
        worker.journal.add("fault", kind="refuse", for_s=1.0, value=0.0)
        journals = _journals.parse_journals(
            {"w": worker.journal.events(), "e": executor.journal.events()}
        )
        (start,) = journals.worker_events
        begin, end = journals.executor_events
        assert (start.worker, start.task_id) == ("w", "kowhai.job/day")
        assert start.millicores_in_use > 0
        assert (begin.event, end.event) == ("begin", "end")
        assert begin.wall_s <= end.wall_s
