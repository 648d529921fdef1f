"""Tests over real sockets of a term at a limit of its surroundings."""

import json
from typing import Any

import instance_rig
import platform_standin

_EXECUTORS = 8
_CONNECTIONS = 7  # the store's reads wait on three of them
_JOB_PATH = "/jobs/00000000000000e1"
_OTHER_PATH = "/jobs/00000000000000e2"
_LONG_JOB = (
    f'{{"Spec":"{platform_standin.LONG_RUN_PREFIX}60","Steps":[{{"Count":1,'
    '"Cpu":100,"MemMb":100,"EstDurationMs":60000,"Checkpointing":true}]}'
)


class TestTooManyExecutors:
    """One log line names both numbers, and the instance goes on."""

    def test_jobs_run_on_what_can_be_reached(self, logs: list[Any]) -> None:
        platform = platform_standin.Platform(executors=_EXECUTORS)
        platform.configure(1, "/jobs/")
        instance = instance_rig.Instance(platform, max_connections=_CONNECTIONS)
        try:
            instance_rig.submit_until_accepted(instance, _JOB_PATH)
            instance_rig.wait_until(lambda: platform.starts)
            platform.configure(2, "/jobs/")
        finally:
            instance.close()
            platform.close()
        warnings = [
            each
            for each in logs
            if each["event"] == "executors.exceed-connections"
        ]
        assert len(warnings) == 1
        assert warnings[0]["executors"] == _EXECUTORS
        assert warnings[0]["connections"] == _CONNECTIONS


class TestTooLargeRecord:
    """A job whose progress doesn't fit into a record fails, and no other."""

    def test_others_are_served_beside_it(self, logs: list[Any]) -> None:
        # The store refused the record for ever, and all others behind it.
        platform = platform_standin.Platform()
        platform.configure(1, "/jobs/")
        instance = instance_rig.Instance(platform)
        try:
            instance_rig.submit_until_accepted(instance, _JOB_PATH, _LONG_JOB)
            instance_rig.wait_until(lambda: platform.starts)
            _lapse_runs(platform, "x" * platform_standin.MAX_RECORD_BYTES)
            instance_rig.submit_until_accepted(instance, _OTHER_PATH)
            instance_rig.wait_until(
                lambda: _state(instance, _OTHER_PATH) == "completed"
            )
            assert _state(instance, _JOB_PATH) == "failed"
        finally:
            instance.close()
            platform.close()
        (entry,) = [
            each for each in logs if each["event"] == "journal.record-too-large"
        ]
        assert f".{_JOB_PATH.removeprefix('/jobs/')}" in entry["key"]


def _lapse_runs(platform: platform_standin.Platform, checkpoint: str) -> None:
    """Ends all runs as at the end of a lease, with a checkpoint."""
    with platform.lock:
        for executor in platform.executors:
            for task, run in list(executor.running):
                executor.end_run(task, run, "lapsed")
                executor.ended[-1][-1] = checkpoint


def _state(instance: instance_rig.Instance, path: str) -> str:
    """Returns the state of a job; empty if it is not known."""
    status, body = instance.call("GET", path)
    return str(json.loads(body).get("State", "")) if status == 200 else ""
