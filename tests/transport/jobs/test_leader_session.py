"""Tests over real sockets of a term with more executors than connections."""

from typing import Any

import instance_rig
import platform_standin

_EXECUTORS = 8
_CONNECTIONS = 7  # the store's reads wait on three of them
_JOB_PATH = "/jobs/00000000000000e1"


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
