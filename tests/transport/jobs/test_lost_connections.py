"""Tests of routing a submission whose connection is lost, on real sockets."""

from concurrent import futures
import time

import pytest

from basiljunction.protocol import _peer_calls
from basiljunction.state.workload import _client_calls
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _http_calls
import resetting_server

_Outcome = _client_calls.CallOutcome

WAIT_S = 1.0
"""Time that a caller waits for the answer to a submission, in seconds."""


class _FollowerScheduler(_call_router.LocalScheduler):
    """An instance that does not schedule but knows which one does.

    Args:
        leader_address: Address of the one that does.
    """

    def __init__(self, leader_address: str) -> None:
        self._leader_address = leader_address

    def is_scheduling(self) -> bool:
        return False

    def answer_locally(self, pending: _call_router.PendingCall) -> None:
        raise AssertionError("this instance does not schedule")

    def newest_leader(self) -> tuple[str, int]:
        return self._leader_address, 3

    def is_leader_elsewhere(self) -> bool:
        return True

    def report_unreachable_leader(self, epoch: int) -> None:
        """Ignores the report; the leader stays the same."""


class Rig:
    """Forwards submissions to an instance over real sockets.

    Args:
        leader_address: Address of that instance.
    """

    def __init__(self, leader_address: str) -> None:
        self._clock = _clock.SystemClock()
        self._calls = _http_calls.HttpClient(
            _metrics.Metrics("front-1"), max_connections=100
        )
        self._router = _call_router.CallRouter(
            calls=self._calls,
            local=_FollowerScheduler(leader_address),
            clock=self._clock.now,
        )

    def submit(self, job_id: str) -> _client_calls.ClientReply:
        """Submits a job and returns what its caller is answered."""
        reply: futures.Future[_client_calls.ClientReply] = futures.Future()
        call = _client_calls.ClientCall(
            _client_calls.CallKind.SUBMIT, "queue", job_id, b"job"
        )
        now = self._clock.now()
        self._router.add_call(
            _call_router.PendingCall(call, reply, now.boot_s + WAIT_S, False),
            now,
        )
        end_s = time.monotonic() + 2 * WAIT_S
        while not reply.done() and time.monotonic() < end_s:
            self._calls.poll(0.01)
            self._router.process_pending_calls(self._clock.now())
        return reply.result(0)

    def close(self) -> None:
        """Closes the connections."""
        self._calls.close()


class TestLostSubmission:
    """A submission that may have been taken is not answered as refused."""

    @pytest.mark.parametrize("later_status", [None, 200])
    def test_a_submission_that_a_peer_has_read_is_not_answered_as_refused(
        self, later_status: int | None
    ) -> None:
        accepted, busy = (
            _peer_calls.encode_reply(_client_calls.ClientReply(each), "", 0)
            for each in (_Outcome.ACCEPTED, _Outcome.UNAVAILABLE)
        )
        server = resetting_server.ResettingServer(
            later_status, first_body=accepted, later_body=busy
        )
        rig = Rig(server.url.removeprefix("http://").rstrip("/"))
        outcomes = [rig.submit(f"{number:016x}").outcome for number in range(2)]
        rig.close()
        server.close()
        assert outcomes == [_Outcome.ACCEPTED, _Outcome.UNKNOWN]
