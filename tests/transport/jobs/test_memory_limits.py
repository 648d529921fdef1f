"""Tests of the division of an instance's memory among what callers send."""

import pytest

from basiljunction.transport.jobs import _connection_limits
from basiljunction.transport.jobs import _memory_limits

_MB = 1_000_000


class TestDivideMemory:
    """All that callers send fits into a part of the memory."""

    @pytest.mark.parametrize("memory_mb", [100, 160, 200, 300, 552])
    def test_callers_keep_to_their_part(self, memory_mb: int) -> None:
        connections = _connection_limits.divide_descriptors(4100)
        limits = _memory_limits.divide_memory(memory_mb * _MB, connections)
        used = (
            limits.connections
            * _connection_limits.SHARES_OF_SERVERS
            * _memory_limits.BYTES_PER_CONNECTION
            + limits.bodies_bytes
            * _memory_limits.COPIES_OF_BODY
            * _memory_limits.SERVERS
        )
        assert used <= memory_mb * _MB / _memory_limits.CALLERS_PART

    @pytest.mark.parametrize("memory_mb", [160, 200, 300, 552])
    def test_bodies_of_the_largest_size_are_taken(self, memory_mb: int) -> None:
        connections = _connection_limits.divide_descriptors(4100)
        limits = _memory_limits.divide_memory(memory_mb * _MB, connections)
        assert limits.body_bytes == _memory_limits.MAX_BODY_BYTES
        assert limits.bodies_bytes >= 3 * limits.body_bytes

    def test_descriptors_limit_connections_where_memory_is_ample(self) -> None:
        connections = _connection_limits.divide_descriptors(700)
        limits = _memory_limits.divide_memory(None, connections)
        assert limits.connections == connections.server

    def test_there_is_always_one(self) -> None:
        connections = _connection_limits.divide_descriptors(1)
        limits = _memory_limits.divide_memory(1, connections)
        assert limits == _memory_limits.ServerLimits(1, 1, 1)
