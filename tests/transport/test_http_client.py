"""Tests of the client of the HTTP API over real sockets on loopback."""

import json
from typing import Any

import pytest

from basiljunction.transport import _http_client
import resetting_server


def _make_problem(outcome: str, **changes: Any) -> bytes:
    """Returns a problem document (RFC 9457)."""
    fields = {
        "type": "urn:x",
        "title": "",
        "status": 409,
        "detail": "refused",
        "outcome": outcome,
        "step": "accept",
        "peer": "b",
        "reason": "x",
        "request_id": "r",
        **changes,
    }
    return json.dumps(fields).encode()


class TestSecondInstance:
    """A refusal by the second instance says nothing of a lost first request."""

    def _send(
        self, method: str, status: int, body: bytes
    ) -> _http_client.ApiAnswer:
        """Sends a request that an instance reads and the next one answers."""
        server = resetting_server.ResettingServer(
            status,
            headers=("Content-Type: application/problem+json",),
            later_body=body,
            answers_first=False,
        )
        client = _http_client.ApiClient([server.url, server.url])
        try:
            return client.send_request(
                _http_client.ApiRequest(method, "/v1/jobs", b"job")
            )
        finally:
            server.close()
            assert len(server.received_bodies) == 2

    @pytest.mark.parametrize("status", [409, 429, 503])
    def test_a_request_that_may_have_been_read_is_not_reported_as_not_run(
        self, status: int
    ) -> None:
        with pytest.raises(_http_client.UnansweredError, match="refused"):
            self._send("POST", status, _make_problem("not-run", status=status))

    def test_a_success_of_the_second_counts(self) -> None:
        assert self._send("POST", 200, b"{}").is_success

    def test_an_unknown_outcome_of_the_second_is_passed_on(self) -> None:
        answer = self._send("POST", 502, _make_problem("unknown", status=502))
        assert answer.status == 502

    def test_a_conflict_with_a_version_in_force_counts(self) -> None:
        """It is not reported for a request that has taken effect itself."""
        body = _make_problem("not-run", current_version=3)
        assert self._send("PUT", 409, body).status == 409

    def test_a_refused_question_counts(self) -> None:
        body = _make_problem("not-run", status=404)
        assert self._send("GET", 404, body).status == 404
