"""Tests of the checks on callers' requests before they reach the scheduler."""

from concurrent import futures
import json
import threading
import time
from typing import Any

import pytest
from werkzeug import test

from basiljunction.protocol import _peer_calls
from basiljunction.state.workload import _client_calls
from basiljunction.state.workload import _configuration
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _answer_limit
from basiljunction.transport.jobs import _apps
from basiljunction.transport.jobs import _cell_task
import workload_builders as build

_JOB_ID = "00000000000000a1"
_STEP = {"Count": 1, "Cpu": 100, "MemMb": 100, "EstDurationMs": 100}


class _AcceptingTask(_cell_task.CellTask):
    """Records every call and answers it as accepted."""

    def __init__(
        self, configuration: _configuration.Configuration | None
    ) -> None:
        self._configuration = configuration
        self.received_calls: list[_client_calls.ClientCall] = []
        self.call_received = threading.Event()

    @property
    def configuration(self) -> _configuration.Configuration | None:
        return self._configuration

    def tell(self, message: object) -> None:
        assert isinstance(message, _cell_task.CallReceived)
        self.received_calls.append(message.call)
        reply: futures.Future[_client_calls.ClientReply] = message.reply_future
        outcome = _client_calls.CallOutcome.ACCEPTED
        reply.set_result(_client_calls.ClientReply(outcome))


def _send_request(
    body: bytes,
    path: str = f"/episode/{_JOB_ID}",
    *,
    configuration: _configuration.Configuration | None = None,
    method: str = "POST",
) -> tuple[int, str, _AcceptingTask]:
    """Sends a request; returns the status, the body and the recording task."""
    task = _AcceptingTask(configuration or build.configuration())
    app = _apps.FrontApp(
        task, lambda: False, _metrics.Metrics(), _apps.CallSlots(1)
    )
    response = test.Client(app).open(
        path,
        method=method,
        data=body,
        headers={"Host": "jobs.example", "Content-Type": "application/json"},
    )
    return response.status_code, response.text, task


def _job_body(**changes: Any) -> bytes:
    """Returns a valid job of one step as JSON, with fields overridden."""
    return json.dumps({"Spec": "x", "Steps": [_STEP]} | changes).encode()


class TestRequests:
    """An invalid job is refused with a reason and is not scheduled."""

    def test_a_job_reaches_the_scheduler(self) -> None:
        status, _, task = _send_request(_job_body())
        assert status == 200
        assert [call.job_id for call in task.received_calls] == [_JOB_ID]

    @pytest.mark.parametrize(
        ("body", "reason"),
        [
            (b"", "job"),
            (b"{", "job"),
            (b"\xff\xfe", "job"),
            (b"[]", "job"),
            (b"[" * 5000, "job"),
            (b'{"Steps":' + b"[" * 3000 + b"]" * 3000 + b"}", "recursion"),
            (_job_body(Steps=[]), "Steps"),
            (_job_body(Steps=[_STEP | {"Count": 0}]), "Count"),
            (_job_body(Steps=[_STEP | {"Count": "1"}]), "Count"),
            (_job_body(Steps=[_STEP | {"Cpu": -1}]), "Cpu"),
            (_job_body(Steps=[_STEP | {"Cpu": 1.5}]), "Cpu"),
            (_job_body(Steps=[_STEP | {"After": [0]}]), "After"),
            (_job_body(Steps=[_STEP, _STEP | {"After": [1]}]), "After"),
            (_job_body(Steps=[_STEP | {"After": [1]}, _STEP]), "After"),
            (_job_body(Spec="x" * 4001), "Spec"),
            (_job_body(Spec=5), "Spec"),
            (_job_body(RepeatCount=-1), "RepeatCount"),
        ],
    )
    def test_a_malformed_job_is_told_why(
        self, body: bytes, reason: str
    ) -> None:
        status, text, task = _send_request(body)
        assert status == 400
        assert reason in text
        assert task.received_calls == []

    def test_a_body_over_the_limit_is_refused_unread(self) -> None:
        limit = build.configuration().max_body_bytes
        status, text, task = _send_request(b" " * (limit + 1))
        assert (status, json.loads(text)["Reason"]) == (413, "body-too-large")
        assert task.received_calls == []

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("POST", f"/other/{_JOB_ID}", 404),
            ("POST", "/episode/", 404),
            ("POST", "/episode/00000000000000A1", 404),
            ("POST", f"/episode/{_JOB_ID}/x", 404),
            ("PUT", f"/episode/{_JOB_ID}", 405),
            ("PATCH", "/episode/", 404),
        ],
    )
    def test_an_unroutable_request_is_told_so(
        self, method: str, path: str, status: int
    ) -> None:
        answer_status, text, task = _send_request(
            _job_body(), path, method=method
        )
        assert (answer_status, "Reason" in json.loads(text)) == (status, True)
        assert task.received_calls == []

    def test_without_a_configuration_callers_may_come_back(self) -> None:
        task = _AcceptingTask(None)
        app = _apps.FrontApp(
            task, lambda: False, _metrics.Metrics(), _apps.CallSlots(1)
        )
        response = test.Client(app).post(
            f"/episode/{_JOB_ID}", data=_job_body()
        )
        assert response.status_code == 503
        assert int(response.headers["Retry-After"]) >= 1

    def test_a_leaving_instance_closes_connections(self) -> None:
        task = _AcceptingTask(build.configuration())
        app = _apps.FrontApp(
            task, lambda: True, _metrics.Metrics(), _apps.CallSlots(1)
        )
        response = test.Client(app).post(
            f"/episode/{_JOB_ID}",
            data=_job_body(),
            headers={"Host": "jobs.example"},
        )
        assert response.status_code == 200
        assert response.headers["Connection"] == "close"


class TestNoTimeLeft:
    """A request after the last time to answer is refused untried."""

    def _make_passed_limit(self) -> _answer_limit.AnswerLimit:
        """Returns a limit that has passed."""
        limit = _answer_limit.AnswerLimit()
        limit.set_end(time.monotonic())
        return limit

    def test_a_client_may_come_back(self) -> None:
        task = _AcceptingTask(build.configuration())
        app = _apps.FrontApp(
            task,
            lambda: True,
            _metrics.Metrics(),
            _apps.CallSlots(1),
            self._make_passed_limit(),
        )
        response = test.Client(app).post(
            f"/episode/{_JOB_ID}",
            data=_job_body(),
            headers={"Host": "jobs.example"},
        )
        assert response.status_code == 503
        assert int(response.headers["Retry-After"]) >= 1
        assert response.headers["Connection"] == "close"
        assert task.received_calls == []

    def test_a_peer_tries_another_scheduler(self) -> None:
        task = _AcceptingTask(build.configuration())
        app = _apps.PeerApp(task, _apps.CallSlots(1), self._make_passed_limit())
        call = _client_calls.ClientCall(
            _client_calls.CallKind.SUBMIT, "queue", _JOB_ID
        )
        response = test.Client(app).post(
            "/calls", data=_peer_calls.encode_call(call)
        )
        answer = _peer_calls.decode_reply(response.data)
        assert answer.outcome is _client_calls.CallOutcome.NOT_LEADER
        assert task.received_calls == []
