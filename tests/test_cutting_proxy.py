"""Tests of the proxy that resets connections after passing on requests."""

from collections.abc import Iterator
import http.client
import json

import pytest

import cutting_proxy
import platform_standin


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform with one executor."""
    platform = platform_standin.Platform(executors=1)
    yield platform
    platform.close()


def _start_task(
    connection: http.client.HTTPConnection, number: int
) -> http.client.HTTPResponse:
    """Starts a run and returns the answer."""
    body = {
        "FencingToken": 1,
        "DeadlineMs": 10_000,
        "Task": "a.0.0.0",
        "Run": number,
        "Spec": "lasts",
    }
    connection.request("POST", "/run-start", json.dumps(body))
    answer = connection.getresponse()
    answer.read()
    return answer


class TestCut:
    """A cut loses answers, not requests, and refuses connections."""

    def test_requests_pass_while_it_is_cut_and_answers_do_not(
        self, platform: platform_standin.Platform
    ) -> None:
        (executor,) = platform.executors
        proxy = cutting_proxy.CuttingProxy(executor.httpd.server_address[1])
        connection = http.client.HTTPConnection("127.0.0.1", proxy.port)
        assert _start_task(connection, 1).status == 200
        proxy.cut()
        with pytest.raises(ConnectionResetError):
            _start_task(connection, 2)
        for _ in range(100):
            if len(executor.running) == 2:
                break
            platform.stop_event.wait(0.02)
        assert [run for _, run in executor.running] == [1, 2]
        assert proxy.lost_paths == ["/run-start"]
        with pytest.raises(ConnectionRefusedError):
            _start_task(http.client.HTTPConnection("127.0.0.1", proxy.port), 3)
        proxy.mend()
        later = http.client.HTTPConnection("127.0.0.1", proxy.port)
        assert _start_task(later, 4).status == 200
        proxy.close()

    def test_a_planned_cut_begins_with_the_request_and_ends_by_itself(
        self, platform: platform_standin.Platform
    ) -> None:
        (executor,) = platform.executors
        proxy = cutting_proxy.CuttingProxy(executor.httpd.server_address[1])
        proxy.loses_requests = True
        connection = http.client.HTTPConnection("127.0.0.1", proxy.port)
        proxy.cut_at_next("/run-stop", 0.2)
        assert _start_task(connection, 1).status == 200
        proxy.cut_at_next("/run-start", 0.2)
        with pytest.raises(ConnectionResetError):
            _start_task(connection, 2)
        assert proxy.is_cut
        platform.stop_event.wait(0.4)
        assert not proxy.is_cut
        assert [run for _, run in executor.running] == [1]
        proxy.close()
        proxy.mend()
        assert proxy.is_cut
