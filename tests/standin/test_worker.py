"""Tests of the stand-in for a worker."""

import time
from typing import Any

from basiljunction.standin import _interference
from basiljunction.standin import _worker
from standin import requests


def _worker_of(**changes: Any) -> _worker.WorkerStandIn:
    interference = _interference.SimulatedInterference(1)
    return _worker.WorkerStandIn(
        "w", interference=interference, seed=1, **changes
    )


def _start(worker: _worker.WorkerStandIn, **changes: Any) -> int:
    body = {
        "task_id": "job/day",
        "attempt": 1,
        "millicores": 1000,
        "memory_mib": 100,
        "accelerators": 0,
        "run_time_s": 60.0,
        "lease_s": 60.0,
        **changes,
    }
    return requests.call(worker, "/tasks/start", body=body)[0]


def _act(
    worker: _worker.WorkerStandIn, action: str, attempt: int = 1
) -> dict[str, Any]:
    body = {"task_id": "job/day", "attempt": attempt, "fraction": 0.5}
    return requests.call(worker, f"/tasks/{action}", body=body)[1]


class TestStart:
    """An attempt starts once, within the worker's room."""

    def test_same_attempt_twice_starts_once(self) -> None:
        worker = _worker_of()
        assert [_start(worker), _start(worker)] == [200, 200]
        events = [each["event"] for each in worker.journal.events()]
        assert events == ["start"]

    def test_ended_attempt_is_refused(self) -> None:
        worker = _worker_of()
        _start(worker)
        _act(worker, "stop")
        assert _start(worker) == 409

    def test_late_start_after_a_stop_is_refused(self) -> None:
        worker = _worker_of()
        assert _act(worker, "stop")["state"] == "stopped"
        assert _start(worker) == 409

    def test_no_room(self) -> None:
        worker = _worker_of(accelerators=1)
        _start(worker, accelerators=1)
        assert _start(worker, task_id="job/other", accelerators=1) == 409


class TestLease:
    """A task whose lease lapsed is ended, at the moment it lapsed."""

    def test_lapse(self) -> None:
        worker = _worker_of()
        _start(worker, lease_s=0.0)
        worker.advance_time()
        last = worker.journal.events()[-1]
        assert (last["event"], last["state"]) == ("end", "lapsed")
        assert last["millicores_in_use"] == 0
        assert last["wall_s"] <= time.time()


class TestCheckpoint:
    """A checkpoint holds the work done, and the next attempt goes on."""

    def test_resume(self) -> None:
        worker = _worker_of()
        _start(worker, progress_s=5.0)
        checkpoint = _act(worker, "checkpoint")
        stopped = _act(worker, "stop")
        assert stopped["checkpoint"] == checkpoint["checkpoint"] != ""
        assert stopped["progress_s"] >= 5.0
        again = _start(worker, attempt=2, checkpoint=stopped["checkpoint"])
        last = worker.journal.events()[-1]
        assert (again, last["event"]) == (200, "start")
        assert last["resumed_from"] == checkpoint["checkpoint"]
