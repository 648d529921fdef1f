"""Tests of the division of an instance's file descriptors."""

import resource

import pytest

from basiljunction.transport.jobs import _connection_limits


class TestDivideDescriptors:
    """Outgoing connections get what the servers leave, and at least a half."""

    def test_the_servers_come_first_if_there_is_enough(self) -> None:
        assert (
            _connection_limits.divide_descriptors(
                8_192, server_connections=2_000
            )
            == 8_192 - 200 - 32 - 2_000
        )

    def test_half_is_left_if_the_servers_could_use_all(self) -> None:
        assert (
            _connection_limits.divide_descriptors(
                1_232, server_connections=2_000
            )
            == 500
        )

    @pytest.mark.parametrize("max_open_files", [1, 100, 232])
    def test_there_is_always_one(self, max_open_files: int) -> None:
        assert (
            _connection_limits.divide_descriptors(
                max_open_files, server_connections=2_000
            )
            == 1
        )

    def test_without_a_setting_the_limit_of_the_system_holds(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(resource, "getrlimit", lambda _: (5_000, 9_000))
        assert (
            _connection_limits.divide_descriptors(None, server_connections=0)
            == 5_000 - 200 - 32
        )

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
