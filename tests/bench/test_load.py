"""Tests of the generated load over real sockets on loopback."""

import pytest

from basiljunction.bench import _load
import resetting_server


class TestRepeatedRequests:
    """A call that a server may have read is not sent again."""

    @pytest.mark.parametrize("later_status", [None, 503])
    def test_a_call_that_may_have_been_read_is_not_tried_again(
        self,
        later_status: int | None,
    ) -> None:
        server = resetting_server.ResettingServer(later_status)
        called_numbers: list[int] = []

        def target(number: int) -> tuple[str, list[str]]:
            """Notes the call; there are no headers."""
            called_numbers.append(number)
            return server.url, []

        load = _load.PoissonLoad(target=target, rate_per_s=10.0, seed=1)
        for number in range(2):
            load._call_with_retries(number)
        server.close()
        assert called_numbers == [0, 1]
        assert len(server.received_bodies) == 2
        assert [each.status for each in load.answers] == [200, 0]
