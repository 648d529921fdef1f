"""Tests of the division of an instance's file descriptors."""

import resource

import pytest

from basiljunction.protocol import _http_limits
from basiljunction.transport.jobs import _connection_limits
from basiljunction.transport.jobs import _daemon


class TestDivideDescriptors:
    """Outgoing connections and those of the servers get half each."""

    @pytest.mark.parametrize("max_open_files", [1_024, 4_100, 8_192, 65_536])
    def test_all_connections_together_fit(self, max_open_files: int) -> None:
        limits = _connection_limits.divide_descriptors(max_open_files)
        threads = (
            _daemon.FRONT_THREADS
            + _daemon.PEER_THREADS
            + _daemon.READY_THREADS
            + _daemon.METRICS_THREADS
        )
        checks = 4 * _daemon.CHECK_CONNECTIONS
        assert (
            limits.outgoing
            + _connection_limits.SHARES_OF_SERVERS * limits.server
            + threads
            + checks
            <= max_open_files - _connection_limits.FILE_DESCRIPTORS_FOR_FILES
        )

    def test_an_instance_reaches_two_thousand_executors(self) -> None:
        limits = _connection_limits.divide_descriptors(4_400)
        assert limits.outgoing == 2_000

    @pytest.mark.parametrize("max_open_files", [1, 100, 400])
    def test_there_is_always_one(self, max_open_files: int) -> None:
        limits = _connection_limits.divide_descriptors(max_open_files)
        assert limits == _connection_limits.ConnectionLimits(1, 1)

    def test_the_servers_take_any_share(self) -> None:
        limits = _connection_limits.divide_descriptors(1 << 20)
        _http_limits.Limits(
            waiting_connections=limits.server,
            idle_connections=limits.server,
        )

    def test_without_a_setting_the_limit_of_the_system_holds(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(resource, "getrlimit", lambda _: (4_400, 9_000))
        limits = _connection_limits.divide_descriptors(None)
        assert limits.outgoing == 2_000

    def test_no_limit_counts_as_the_usual_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        unlimited = resource.RLIM_INFINITY
        monkeypatch.setattr(
            resource, "getrlimit", lambda _: (unlimited, unlimited)
        )
        assert (
            _connection_limits.find_process_limit()
            == _connection_limits.DEFAULT_DESCRIPTORS
        )
