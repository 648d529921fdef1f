"""Fixtures that several tests of the job scheduler's transport share."""

from collections.abc import Iterator
from typing import Any

import pytest
import structlog
from structlog import testing


@pytest.fixture
def logs() -> Iterator[list[Any]]:
    """Collects the log entries, which the other tests silence."""
    silent = structlog.get_config()["wrapper_class"]
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(20))
    with testing.capture_logs() as entries:
        yield entries
    structlog.configure(wrapper_class=silent)
