"""Tests of an instance's process whose cell task fails."""

from collections.abc import Iterator
from concurrent import futures
from typing import Any

import pytest

from basiljunction.demo import _ports
from basiljunction.transport import _clock
from basiljunction.transport.jobs import _daemon
from basiljunction.transport.jobs import _http_calls
import instance_rig

END_LIMIT_S = 5.0
"""Longest time until the process ends, in seconds; the servers stop in it."""


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
