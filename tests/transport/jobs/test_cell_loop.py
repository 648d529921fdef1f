"""Tests of the cell task's loop under many messages."""

from collections.abc import Iterator
from concurrent import futures
import random
import time

import pytest

from basiljunction.protocol import _instance_settings
from basiljunction.state import _time
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _cell_task
import platform_standin

MESSAGE_S = 0.005
"""Time that each message takes, in seconds."""

MESSAGE_COUNT = 600
"""Messages that wait from the start, three seconds of work."""

READY_LIMIT_S = 2.5
"""Longest time until the task knows the cell's term, in seconds."""


class _BusyTask(_cell_task.CellTask):
    """A cell task that takes a while for each message."""

    def handle(self, message: object, now: _time.Now) -> None:
        """Handles a message; an integer stands for one that takes time."""
        if isinstance(message, int):
            time.sleep(MESSAGE_S)
        else:
            super().handle(message, now)


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform without executors, with a configuration."""
    platform = platform_standin.Platform(executors=0)
    platform.configure(1, "/episode/")
    yield platform
    platform.close()


class TestManyMessages:
    """Calls to the store and to executors go on while messages wait."""

    def test_replies_are_read_although_the_mailbox_is_never_empty(
        self, platform: platform_standin.Platform
    ) -> None:
        """Else a scheduler with many callers hears no executor and no store."""
        task = _BusyTask(
            settings=_instance_settings.InstanceSettings(
                name="front-1",
                zone="zone-a",
                front_listen="127.0.0.1:0",
                ready_listen="127.0.0.1:0",
                peer_listen="127.0.0.1:0",
                store=_instance_settings.StoreSettings(
                    platform.address, 800, 2000, 262144, 2097152
                ),
                bounds=_instance_settings.DeploymentTimeLimits(
                    10.0, 10.0, 60.0, 5.0, 0.9, 3.0
                ),
                heartbeat_s=1.0,
            ),
            clock=_clock.SystemClock(),
            rng=random.Random(1),
            metrics=_metrics.Metrics("front-1"),
        )
        for number in range(MESSAGE_COUNT):
            task.tell(number)
        with futures.ThreadPoolExecutor(1) as pool:
            loop = task.start(pool)
            limit_s = time.monotonic() + READY_LIMIT_S
            while not task.is_ready and time.monotonic() < limit_s:
                time.sleep(0.02)
            is_ready = task.is_ready
            task.stop()
            loop.result()
        assert is_ready
