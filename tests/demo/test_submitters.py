"""Tests of how the submitters judge the end of a job."""

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


def _shown(phase: str, reason: str = "") -> _http.HttpAnswer:
    tasks = [{"phase": phase, "reason": reason}]
    return _http.HttpAnswer(
        200, json.dumps({"tasks": tasks}).encode(), True, ""
    )


class _FakeCluster:
    """Answers the submission, then each look with the same answer."""

    deployment = _deployments.KOWHAI

    def __init__(self, look: _http.HttpAnswer) -> None:
        self._look = look

    def any_instance(self) -> None:
        return None

    def call(self, _instance: None, _path: str, **options: Any) -> Any:
        return _ACCEPTED if options["method"] == "POST" else self._look


class TestEnd:
    """A job has ended only if an instance shows that all its tasks have."""

    @pytest.mark.parametrize(
        ("look", "found", "open_tasks", "unexplained"),
        [
            (_shown("completed"), True, 0, 0),
            (_shown("ended", "cancelled"), True, 0, 0),
            (_shown("ended"), True, 0, 1),
            (_shown("claimed"), True, 1, 0),
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
