"""Tests of how an instance's process ends."""

from collections.abc import Iterator
from concurrent import futures
import http.client
import time
from typing import Any

import pytest

from basiljunction.demo import _ports
from basiljunction.transport import _clock
from basiljunction.transport.jobs import _cell_task
from basiljunction.transport.jobs import _daemon
from basiljunction.transport.jobs import _http_calls
import instance_rig
import platform_standin

END_LIMIT_S = 5.0
"""Longest time until the process ends, in seconds; the servers stop in it."""


GRACE_S = 4.0
"""Time from SIGTERM to SIGKILL in the settings of `instance_rig`, in
seconds."""

HELD_S = 3.0
"""Time before SIGKILL at which a term is still held, in seconds."""

LATE_S = 2.1
"""How long before SIGKILL a late request is sent, in seconds; just before the
instance stops to listen."""


@pytest.fixture
def daemon() -> Iterator[_daemon.Daemon]:
    """An instance on loopback, with no store."""
    front_port, peer_port, store_port = _ports.reserve_free_ports(3)
    daemon = _daemon.Daemon(
        instance_rig.make_settings(
            "front-1",
            front_port=front_port,
            peer_port=peer_port,
            store_address=f"127.0.0.1:{store_port}",
        ),
        _clock.SystemClock(),
    )
    yield daemon
    daemon.request_shutdown()


class TestFailedTask:
    """An instance whose cell task has ended is no healthy one."""

    def test_the_process_ends_with_an_error(
        self,
        daemon: _daemon.Daemon,
        monkeypatch: pytest.MonkeyPatch,
        logs: list[Any],
    ) -> None:
        """Else it keeps its connections and leaves all calls unanswered."""

        def fail_poll(_client: _http_calls.HttpClient, _wait_s: float) -> None:
            raise OSError("no more sockets")

        monkeypatch.setattr(_http_calls.HttpClient, "poll", fail_poll)
        with futures.ThreadPoolExecutor(1) as pool:
            code = pool.submit(daemon.run)
            ended, _ = futures.wait([code], END_LIMIT_S)
            daemon.request_shutdown()
        assert ended
        assert code.result() == 1
        (entry,) = [each for each in logs if each["event"] == "task.failed"]
        assert entry["log_level"] == "error"
        assert entry["task"] == "cell"
        assert isinstance(entry["exc_info"], OSError)


class TestGracePeriod:
    """A leaving instance answers what it has taken, and ends, in time."""

    @pytest.fixture
    def platform(self) -> Iterator[platform_standin.Platform]:
        """A platform with one route, /jobs/."""
        platform = platform_standin.Platform(executors=0)
        platform.configure(1, "/jobs/")
        yield platform
        platform.close()

    def _send_late_request(
        self,
        platform: platform_standin.Platform,
        *,
        is_task_stuck: bool = False,
        holds_term: bool = False,
    ) -> tuple[http.client.HTTPResponse, float, float]:
        """Sends a request late in the grace period of the only instance.

        Args:
            platform: The platform that the instance uses.
            is_task_stuck: Whether the cell task has stopped to answer.
            holds_term: Whether the instance keeps its term for want of another;
                otherwise it has handed it over to one that is lost.

        Returns:
            The response, and the times from SIGTERM to the response and to the
            end of the process, in seconds.
        """
        front_port, peer_port = _ports.reserve_free_ports(2)
        settings = instance_rig.make_settings(
            "front-1",
            front_port=front_port,
            peer_port=peer_port,
            store_address=platform.address,
        )
        daemon = _daemon.Daemon(settings, _clock.SystemClock())
        with futures.ThreadPoolExecutor(1) as pool:
            code = pool.submit(daemon.run)
            connection = http.client.HTTPConnection("127.0.0.1", front_port)
            try:
                instance_rig.wait_until(daemon._is_ready)
                connection.connect()
                if not holds_term:
                    daemon._task.tell(_cell_task.ResignRequested())
                daemon.request_shutdown()
                started_s = time.monotonic()
                late_s = HELD_S if holds_term else LATE_S
                time.sleep(settings.bounds.grace_s - late_s)
                if is_task_stuck:
                    # As if a message kept the task busy.
                    daemon._task.handle = lambda *_: time.sleep(LATE_S)  # type: ignore[method-assign]
                connection.request(
                    "POST",
                    "/jobs/00000000000000a1",
                    instance_rig.SHORT_JOB,
                    headers={"Host": "jobs.example"},
                )
                response = connection.getresponse()
                answered_s = time.monotonic() - started_s
                code.result()
                return response, answered_s, time.monotonic() - started_s
            finally:
                daemon.request_shutdown()
                connection.close()

    def test_a_request_taken_late_is_refused_before_the_process_is_killed(
        self, platform: platform_standin.Platform
    ) -> None:
        """No instance can schedule, so that it waits in vain."""
        response, answered_s, ended_s = self._send_late_request(platform)
        assert response.status == 503
        assert int(response.headers["Retry-After"]) >= 1
        assert response.headers["Connection"] == "close"
        assert answered_s < ended_s < GRACE_S

    def test_the_only_instance_serves_a_late_request(
        self, platform: platform_standin.Platform
    ) -> None:
        response, answered_s, ended_s = self._send_late_request(
            platform, holds_term=True
        )
        assert response.status == 200
        assert answered_s < ended_s < GRACE_S

    def test_a_request_that_the_task_leaves_open_is_answered_in_time(
        self, platform: platform_standin.Platform
    ) -> None:
        """It may have had an effect, so that it is not refused."""
        response, answered_s, _ = self._send_late_request(
            platform, is_task_stuck=True
        )
        assert response.status == 504
        assert "Retry-After" not in response.headers
        assert answered_s < GRACE_S

    def test_the_log_tells_what_the_stop_waits_for(
        self, platform: platform_standin.Platform, logs: list[Any]
    ) -> None:
        self._send_late_request(platform)
        by_event = {each["event"]: each for each in logs}
        assert by_event["calls.open"]["count_by_wait"] == {"leader-unknown": 1}
        assert by_event["call.open"]["waits_for"] == "leader-unknown"
        busy = [
            each["busy_at_stop"]
            for each in logs
            if each["event"] == "http.stopped"
        ]
        assert sorted(busy) == [0, 0, 1]
        assert by_event["instance.stopped"]["left_s"] > 0
