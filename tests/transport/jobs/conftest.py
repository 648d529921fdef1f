"""Fixtures that several tests of the job scheduler's transport share."""

from collections.abc import Iterator
from typing import Any

import pytest
import structlog
from structlog import testing

import instance_rig
import platform_standin


@pytest.fixture
def logs() -> Iterator[list[Any]]:
    """Collects the log entries, which the other tests silence."""
    silent = structlog.get_config()["wrapper_class"]
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(20))
    with testing.capture_logs() as entries:
        yield entries
    structlog.configure(wrapper_class=silent)


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform with one route, /jobs/."""
    platform = platform_standin.Platform(executors=1)
    platform.configure(1, "/jobs/")
    yield platform
    platform.silent_topics.clear()
    platform.close()


@pytest.fixture
def instances(
    platform: platform_standin.Platform,
) -> Iterator[list[instance_rig.Instance]]:
    """Instances started by the test, which are closed after it."""
    started: list[instance_rig.Instance] = []
    yield started
    for each in started:
        each.close()
