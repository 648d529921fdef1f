"""Tests of a soak's executors: restarts, cuts, late orders and the checks."""

from collections.abc import Iterator
import http.client
import json
import time
from typing import Any

import pytest

import platform_standin
from soak import checks as soak_checks
from soak import executors as soak_executors
from soak import fleet as soak_fleet

_JOB = "00000000000000a1"
_TASK = f"{_JOB}.0.0.0"


class _Rig:
    """A fleet of executors on a platform, with its checks."""

    def __init__(self, count: int) -> None:
        self.platform = platform_standin.Platform(executors=0)
        self.checks = soak_checks.Checks()
        self.checks.add_job(_JOB, 1, lasts=True)
        self.fleet = soak_fleet.Fleet(self.platform, self.checks, count, 1)

    @property
    def executors(self) -> list[soak_executors.SoakExecutor]:
        """The executors that run, in the order of their starts."""
        return self.fleet.list_ready()

    def connect(
        self, executor: soak_executors.SoakExecutor
    ) -> http.client.HTTPConnection:
        """Returns a connection to the address of an executor."""
        return http.client.HTTPConnection(
            "127.0.0.1", executor.proxy.port, timeout=0.5
        )

    def close(self) -> None:
        """Ends the executors and the platform."""
        self.fleet.close()
        self.platform.close()


@pytest.fixture(name="rig")
def _rig() -> Iterator[_Rig]:
    rig = _Rig(2)
    yield rig
    rig.close()


def _call(
    connection: http.client.HTTPConnection, path: str, **body: Any
) -> tuple[int, dict[str, Any]]:
    """Makes a call and returns its status and body."""
    connection.request("POST", path, json.dumps({"FencingToken": 1} | body))
    reply = connection.getresponse()
    return reply.status, json.loads(reply.read())


def _start(
    rig: _Rig,
    executor: soak_executors.SoakExecutor,
    run: int,
    deadline_ms: int = 1_000_000,
) -> tuple[int, dict[str, Any]]:
    """Orders the start of a run of the task."""
    return _call(
        rig.connect(executor),
        "/run-start",
        Task=_TASK,
        Run=run,
        Spec="lasts",
        DeadlineMs=deadline_ms,
    )


def _restart(
    rig: _Rig, executor: soak_executors.SoakExecutor, *, is_silent: bool
) -> soak_executors.SoakExecutor:
    """Restarts an executor and returns its new incarnation."""
    rig.fleet.crash_for_restart(executor, is_silent=is_silent)
    return rig.fleet.restart(executor, soak_executors.CAPACITY_CPU)


class TestRestart:
    """An executor that restarts under its id knows nothing of before."""

    @pytest.mark.parametrize("is_silent", [True, False])
    def test_an_incarnation_that_goes_on_with_the_counts_of_the_last(
        self, rig: _Rig, is_silent: bool
    ) -> None:
        first = rig.executors[0]
        assert _start(rig, first, 5)[0] == 200
        _call(rig.connect(first), "/run-stop", Task=_TASK, Run=5)
        second = _restart(rig, first, is_silent=is_silent)
        assert second.id == first.id
        assert second.proxy.port == first.proxy.port
        assert second.born_ms > first.born_ms
        status, answer = _call(
            rig.connect(second), "/hold", LastSeen=0, FencingToken=0
        )
        assert status == 200
        assert answer["ClockMs"] < 1000
        assert answer["Running"] == answer["Ended"] == []
        assert _start(rig, second, 5)[0] == 200

    def test_a_deadline_on_the_clock_before_that_is_not_cut_down(
        self, rig: _Rig
    ) -> None:
        second = _restart(rig, rig.executors[0], is_silent=True)
        assert _start(rig, second, 1, 900_000)[0] == 200
        assert 9_000 < second.lease_ms <= 11_000

    @pytest.mark.parametrize("is_silent", [True, False])
    def test_a_wait_for_an_answer_that_sees_the_wrong_end(
        self, rig: _Rig, is_silent: bool
    ) -> None:
        first = rig.executors[0]
        body = {"FencingToken": 1, "LastSeen": 0, "WaitMs": 2000}
        connection = rig.connect(first)
        connection.request("POST", "/hold", json.dumps(body))
        end_s = time.monotonic() + 5.0
        while first.highest_token == 0 and time.monotonic() < end_s:
            time.sleep(0.01)
        _restart(rig, first, is_silent=is_silent)
        expected = TimeoutError if is_silent else ConnectionError
        with pytest.raises(expected):
            connection.getresponse()

    @pytest.mark.parametrize("is_silent", [True, False])
    def test_an_idle_connection_to_the_last_incarnation_that_stays(
        self, rig: _Rig, is_silent: bool
    ) -> None:
        first = rig.executors[0]
        connection = rig.connect(first)
        connection.connect()
        assert _call(connection, "/hold", LastSeen=0)[0] == 200
        _restart(rig, first, is_silent=is_silent)
        assert connection.sock.recv(1) == b""


class TestCutOff:
    """What runs on an executor that is cut off goes on and is seen."""

    @pytest.mark.parametrize("is_silent", [True, False])
    def test_a_second_run_beside_one_that_is_cut_off_goes_unseen(
        self, rig: _Rig, is_silent: bool
    ) -> None:
        first, second = rig.executors
        assert _start(rig, first, 1)[0] == 200
        rig.fleet.cut_off(first, is_silent=is_silent, from_store=False)
        with pytest.raises((ConnectionError, TimeoutError)):
            _start(rig, first, 2)
        assert _start(rig, second, 3)[0] == 200
        assert "TWICE" in rig.checks.violations[0]

    def test_an_order_for_one_incarnation_that_reaches_the_next(
        self, rig: _Rig
    ) -> None:
        first = rig.executors[0]
        rig.fleet.cut_off(first, is_silent=True, from_store=False)
        with pytest.raises(TimeoutError):
            _start(rig, first, 1)
        second = _restart(rig, first, is_silent=True)
        assert _call(rig.connect(second), "/hold", LastSeen=0)[0] == 200
        time.sleep(0.2)
        assert rig.checks.start_count == 0

    def test_an_executor_that_does_not_come_back(self, rig: _Rig) -> None:
        first = rig.executors[0]
        rig.fleet.cut_off(first, is_silent=False, from_store=True)
        rig.fleet.mend(first)
        assert _start(rig, first, 1)[0] == 200
        assert first.sends_heartbeats


class TestLateOrders:
    """Orders without an answer are carried out late, unless barred."""

    def _hold_back_start(self, rig: _Rig) -> soak_executors.SoakExecutor:
        """Returns an executor that has held back the start of run 1."""
        executor = rig.executors[0]
        executor.late_orders.begin(1.0, 0.3, spares_renewals=True)
        with pytest.raises((OSError, http.client.HTTPException)):
            _start(rig, executor, 1)
        assert rig.fleet.has_late_orders()
        assert not executor.running
        time.sleep(0.3)
        return executor

    def _carry_out(self, rig: _Rig, monkeypatch: pytest.MonkeyPatch) -> None:
        """Lets so much time pass for late orders that all are due."""
        for executor in rig.executors:
            taken = executor.late_orders.take_due(float("inf"))
            monkeypatch.setattr(
                executor.late_orders, "take_due", lambda _, due=taken: due
            )
        rig.fleet.advance()

    def test_a_late_start_beside_another_run_goes_unseen(
        self, rig: _Rig, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self._hold_back_start(rig)
        assert _start(rig, rig.executors[1], 2)[0] == 200
        self._carry_out(rig, monkeypatch)
        assert "TWICE" in rig.checks.violations[0]

    def test_a_late_start_that_was_barred_starts(
        self, rig: _Rig, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        executor = self._hold_back_start(rig)
        _call(rig.connect(executor), "/run-stop", Task=_TASK, Run=1)
        self._carry_out(rig, monkeypatch)
        assert not executor.running

    def test_a_late_start_outlives_the_incarnation_that_received_it(
        self, rig: _Rig
    ) -> None:
        _restart(rig, self._hold_back_start(rig), is_silent=False)
        assert not rig.fleet.has_late_orders()

    def test_a_start_whose_lease_is_over_starts(self, rig: _Rig) -> None:
        executor = rig.executors[0]
        status, answer = _start(rig, executor, 1, 1)
        assert (status, answer["Reason"]) == (409, "late")
        assert not executor.running


class TestRoom:
    """Starts over the room of an incarnation are seen."""

    def test_starts_over_the_room_go_unseen(self, rig: _Rig) -> None:
        first = rig.executors[0]
        rig.fleet.crash_for_restart(first, is_silent=True)
        second = rig.fleet.restart(first, 500)
        assert _start(rig, second, 1)[0] == 200
        assert rig.checks.violations == []
        _call(
            rig.connect(second),
            "/run-start",
            Task=f"{_JOB}.0.0.1",
            Run=1,
            Spec="lasts",
            DeadlineMs=1_000_000,
        )
        assert "LIMIT" in rig.checks.violations[0]
