"""Tests which connections a call to an executor may use."""

from collections.abc import Callable

import pytest

from basiljunction.transport.jobs import _checked_connections


class TestGuard:
    """A connection is known for what has answered on it."""

    def _make(
        self, restarts: int | None
    ) -> Callable[[tuple[str, int, int]], bool]:
        """Returns what a guard says of connections; one is known."""
        connections = _checked_connections.CheckedConnections(limit=2)
        connections.record("e1", ("10.0.0.1", 1, 1), restarts=1)
        guard = _checked_connections.IncarnationGuard(
            connections, "e1", restarts
        )
        return guard.admits

    def test_a_known_connection_to_the_present_incarnation_is_admitted(
        self,
    ) -> None:
        assert self._make(1)(("10.0.0.1", 1, 1))

    @pytest.mark.parametrize("restarts", [0, 2])
    def test_one_to_another_incarnation_is_not(self, restarts: int) -> None:
        assert not self._make(restarts)(("10.0.0.1", 1, 1))

    def test_one_without_an_answer_is_not(self) -> None:
        assert not self._make(1)(("10.0.0.1", 1, 2))

    def test_one_that_may_be_new_is_forgotten_until_it_has_answered(
        self,
    ) -> None:
        connections = _checked_connections.CheckedConnections(limit=2)
        connections.record("e1", ("10.0.0.1", 1, 1), restarts=1)
        opening = _checked_connections.IncarnationGuard(connections, "e1")
        assert opening.admits(("10.0.0.1", 1, 1))
        assert not connections.is_known("e1", ("10.0.0.1", 1, 1), 1)

    def test_one_between_the_ports_of_another_executors_is_forgotten_too(
        self,
    ) -> None:
        """An address goes from one executor to another and back."""
        connections = _checked_connections.CheckedConnections(limit=2)
        connections.record("e1", ("10.0.0.1", 1, 1), restarts=0)
        opening = _checked_connections.IncarnationGuard(connections, "e2")
        assert opening.admits(("10.0.0.1", 1, 1))
        assert not connections.is_known("e1", ("10.0.0.1", 1, 1), 0)

    def test_the_one_used_least_recently_is_dropped_over_the_limit(
        self,
    ) -> None:
        connections = _checked_connections.CheckedConnections(limit=2)
        for port in (1, 2):
            connections.record("e1", ("10.0.0.1", 1, port), restarts=0)
        assert connections.is_known("e1", ("10.0.0.1", 1, 1), 0)
        connections.record("e1", ("10.0.0.1", 1, 3), restarts=0)
        assert [
            connections.is_known("e1", ("10.0.0.1", 1, port), 0)
            for port in (1, 2, 3)
        ] == [True, False, True]
