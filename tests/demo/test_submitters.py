"""Tests of how the job submitters determine whether a job has ended."""

import json
import threading
from typing import Any
from typing import cast

import pytest

from basiljunction.demo import _cluster
from basiljunction.demo import _deployments
from basiljunction.demo import _http
from basiljunction.demo import _submitters

_PATTERN = _deployments.KOWHAI.jobs[-1]
_ACCEPTED = _http.HttpAnswer(200, b'{"job_id": "kowhai.watch"}', True, "")


def _make_status_answer(phase: str, reason: str = "") -> _http.HttpAnswer:
    """Returns a job status answer with one task in phase `phase`."""
    tasks = [{"phase": phase, "reason": reason}]
    return _http.HttpAnswer(
        200, json.dumps({"tasks": tasks}).encode(), True, ""
    )


class _FakeCluster:
    """Accepts the submission and gives each status query the same answer.

    It has no instances, so `any_instance` returns None and `call` ignores it.
    """

    deployment = _deployments.KOWHAI

    def __init__(self, status_answer: _http.HttpAnswer) -> None:
        self._status_answer = status_answer

    def any_instance(self) -> None:
        return None

    def call(self, _instance: None, _path: str, **options: Any) -> Any:
        """Returns the answer to a submission (POST) or a status query."""
        return _ACCEPTED if options["method"] == "POST" else self._status_answer


class TestEnd:
    """A job counts as ended only if an instance reports all its tasks ended."""

    @pytest.mark.parametrize(
        ("look", "found", "open_tasks", "unexplained"),
        [
            (_make_status_answer("completed"), True, 0, 0),
            (_make_status_answer("ended", "cancelled"), True, 0, 0),
            (_make_status_answer("ended"), True, 0, 1),
            (_make_status_answer("claimed"), True, 1, 0),
            (_http.HttpAnswer(404, b"", True, ""), False, 1, 0),
            (_http.HttpAnswer(503, b"", True, ""), True, 1, 0),
            (_http.HttpAnswer(0, b"", True, "cut"), True, 1, 0),
        ],
    )
    def test_look(
        self,
        monkeypatch: pytest.MonkeyPatch,
        look: _http.HttpAnswer,
        found: bool,
        open_tasks: int,
        unexplained: int,
    ) -> None:
        monkeypatch.setattr(_submitters, "CALL_RETRY_DELAY_S", 0.0)
        cluster = cast("_cluster.Cluster", _FakeCluster(look))
        submitters = _submitters.JobSubmitter(cluster, run_name="run")
        submitters.submit_until_stopped(_PATTERN, threading.Event())
        (end,) = submitters.wait_for_jobs(0.0)
        assert (end.is_known, end.unfinished_task_count) == (found, open_tasks)
        assert end.ended_without_reason_count == unexplained
