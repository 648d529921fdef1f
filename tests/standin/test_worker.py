"""Tests of the stand-in for a worker."""

import time
from typing import Any

from basiljunction.standin import _interference
from basiljunction.standin import _worker
from standin import requests


def _make_worker(**changes: Any) -> _worker.WorkerStandIn:
    """Returns a stand-in worker with `changes` to its defaults."""
    interference = _interference.SimulatedInterference(1)
    return _worker.WorkerStandIn(
        "w", interference=interference, seed=1, **changes
    )


def _start_task(worker: _worker.WorkerStandIn, **changes: Any) -> int:
    """Asks the worker to start an attempt; returns the HTTP status."""
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
    return requests.call_stand_in(worker, "/tasks/start", body=body)[0]


def _call_task_action(
    worker: _worker.WorkerStandIn, action: str, attempt: int = 1
) -> dict[str, Any]:
    """Calls a task action such as stop; returns the JSON answer."""
    body = {"task_id": "job/day", "attempt": attempt, "fraction": 0.5}
    return requests.call_stand_in(worker, f"/tasks/{action}", body=body)[1]


class TestStart:
    """An attempt starts at most once and only within free capacity."""

    def test_same_attempt_twice_starts_once(self) -> None:
        worker = _make_worker()
        assert [_start_task(worker), _start_task(worker)] == [200, 200]
        events = [each["event"] for each in worker.journal.events()]
        assert events == ["start"]

    def test_ended_attempt_is_refused(self) -> None:
        worker = _make_worker()
        _start_task(worker)
        _call_task_action(worker, "stop")
        assert _start_task(worker) == 409

    def test_late_start_after_a_stop_is_refused(self) -> None:
        worker = _make_worker()
        assert _call_task_action(worker, "stop")["state"] == "stopped"
        assert _start_task(worker) == 409

    def test_no_room(self) -> None:
        worker = _make_worker(accelerators=1)
        _start_task(worker, accelerators=1)
        assert _start_task(worker, task_id="job/other", accelerators=1) == 409


class TestLease:
    """A task whose lease expired is ended as of the time of expiry."""

    def test_lapse(self) -> None:
        worker = _make_worker()
        _start_task(worker, lease_s=0.0)
        worker.advance_time()
        last = worker.journal.events()[-1]
        assert (last["event"], last["state"]) == ("end", "lapsed")
        assert last["millicores_in_use"] == 0
        assert last["wall_s"] <= time.time()


class TestCheckpoint:
    """A checkpoint records the progress; the next attempt resumes from it."""

    def test_resume(self) -> None:
        worker = _make_worker()
        _start_task(worker, progress_s=5.0)
        checkpoint = _call_task_action(worker, "checkpoint")
        stopped = _call_task_action(worker, "stop")
        assert stopped["checkpoint"] == checkpoint["checkpoint"] != ""
        assert stopped["progress_s"] >= 5.0
        again = _start_task(worker, attempt=2, checkpoint=stopped["checkpoint"])
        last = worker.journal.events()[-1]
        assert (again, last["event"]) == (200, "start")
        assert last["resumed_from"] == checkpoint["checkpoint"]
