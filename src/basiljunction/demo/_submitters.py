"""Submits batch jobs and waits for their end."""

import dataclasses
import threading
import time
from typing import Any

from basiljunction.demo import _cluster
from basiljunction.demo import _deployments
from basiljunction.demo import _evidence
from basiljunction.demo import _http

MAX_CALL_ATTEMPTS = 6
"""Number of attempts of a call, after which its last answer is returned."""

CALL_RETRY_DELAY_S = 0.5
"""Delay before the first retry, in seconds; grows linearly with each retry."""

STATUS_POLL_INTERVAL_S = 0.5
"""Interval between polls of job statuses, in seconds."""

CALL_TIMEOUT_S = 12.0
"""Longest time for one call, in seconds."""

HTTP_NOT_FOUND = 404
"""HTTP status for a job that the system does not know."""

OPEN_PHASES = frozenset({"pending", "claimed"})
"""Task phases in which a task has neither completed nor ended."""

ENDED_PHASE = "ended"
"""Phase of a task that ended without completing."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubmittedJob:
    """A job that the system accepted.

    Attributes:
        job_id: ID of the job.
        is_watch: Whether the job is a watch, which runs until cancelled.
    """

    job_id: str
    is_watch: bool


class JobSubmitter:
    """Submits the batch jobs of one deployment and tracks their status.

    Attributes:
        refused_job_count: Submissions that were not accepted.

    Args:
        cluster: The deployment.
        run_name: Prefix of the names of the jobs.
    """

    def __init__(self, cluster: _cluster.Cluster, *, run_name: str) -> None:
        self._cluster = cluster
        self._run_name = run_name
        self._lock = threading.Lock()
        self._jobs: list[SubmittedJob] = []
        self.refused_job_count = 0

    def submit_until_stopped(
        self, pattern: _deployments.JobPattern, stop: threading.Event
    ) -> None:
        """Submits the jobs of one class until ``stop`` is set.

        A pattern without an interval is submitted once.
        """
        number = 0
        while not stop.is_set():
            number += 1
            self._submit_one(pattern, number)
            if not pattern.submit_interval_s:
                return
            stop.wait(pattern.submit_interval_s)

    def cancel_watches(self) -> None:
        """Cancels every watch that was accepted."""
        for job in self._jobs:
            if job.is_watch:
                self._call_until_answered(
                    "DELETE", f"/v1/jobs/{job.job_id}", None
                )

    def wait_for_jobs(
        self, timeout_s: float
    ) -> tuple[_evidence.FinalJobStatus, ...]:
        """Waits until every job has ended and returns their status.

        Args:
            timeout_s: Longest wait; jobs that are still open are returned as
                they are.
        """
        deadline_s = time.monotonic() + timeout_s
        end_by_id: dict[str, _evidence.FinalJobStatus] = {}
        while True:
            for job in self._jobs:
                known = end_by_id.get(job.job_id)
                if known is None or known.unfinished_task_count:
                    end_by_id[job.job_id] = self._read_status(job)
            open_tasks = sum(
                each.unfinished_task_count for each in end_by_id.values()
            )
            if not open_tasks or time.monotonic() > deadline_s:
                return tuple(end_by_id.values())
            time.sleep(STATUS_POLL_INTERVAL_S)

    def _submit_one(
        self, pattern: _deployments.JobPattern, number: int
    ) -> None:
        """Submits one job and records it if it was accepted."""
        name = f"{self._run_name}-{pattern.class_name}-{number}"
        answer = self._call_until_answered(
            "POST", "/v1/jobs", _make_job_document(pattern, name)
        )
        if not answer.is_success:
            self.refused_job_count += 1
            return
        job_id = str(answer.json()["job_id"])
        with self._lock:
            self._jobs.append(SubmittedJob(job_id, pattern.is_watch))

    def _read_status(self, job: SubmittedJob) -> _evidence.FinalJobStatus:
        """Returns the status of a job.

        A job whose status cannot be read counts as having one unfinished task.
        """
        answer = self._call_until_answered(
            "GET", f"/v1/jobs/{job.job_id}", None
        )
        tasks = answer.json().get("tasks", [])
        ended = [each for each in tasks if each["phase"] == ENDED_PHASE]
        open_tasks = sum(each["phase"] in OPEN_PHASES for each in tasks)
        return _evidence.FinalJobStatus(
            job_id=job.job_id,
            customer=self._cluster.deployment.customer,
            is_known=answer.status != HTTP_NOT_FOUND,
            unfinished_task_count=open_tasks if answer.is_success else 1,
            ended_without_reason_count=sum(
                not each["reason"] for each in ended
            ),
        )

    def _call_until_answered(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> _http.HttpAnswer:
        """Calls running instances until one answers with success or 404.

        Returns the last answer after ``MAX_CALL_ATTEMPTS``.
        """
        answer = _http.HttpAnswer(0, b"", False, "not tried")
        for number in range(MAX_CALL_ATTEMPTS):
            answer = self._cluster.call(
                self._cluster.any_instance(),
                path,
                token=self._cluster.deployment.token,
                method=method,
                body=body,
                timeout_s=CALL_TIMEOUT_S,
            )
            if answer.is_success or answer.status == HTTP_NOT_FOUND:
                return answer
            time.sleep(CALL_RETRY_DELAY_S * (number + 1))
        return answer


def _make_job_document(
    pattern: _deployments.JobPattern, name: str
) -> dict[str, Any]:
    """Returns the document of a job made from a pattern."""
    parts = [f"part-{number}" for number in range(pattern.part_count)]
    tasks = [_make_task_document(pattern, part, ()) for part in parts]
    if pattern.final_task_name:
        tasks.append(
            _make_task_document(pattern, pattern.final_task_name, tuple(parts))
        )
    return {"name": name, "class_name": pattern.class_name, "tasks": tasks}


def _make_task_document(
    pattern: _deployments.JobPattern, name: str, after: tuple[str, ...]
) -> dict[str, Any]:
    """Returns the document of one task of a job."""
    return {
        "name": name,
        "demand": {
            "millicores": pattern.millicores,
            "memory_mib": pattern.memory_mib,
        },
        "run_time_s": pattern.run_time_s,
        "after": list(after),
    }
