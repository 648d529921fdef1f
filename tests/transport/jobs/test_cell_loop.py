"""Tests of the cell task's loop under many messages."""

from collections.abc import Iterator
from concurrent import futures
import random
import time
from typing import Any
from typing import TypeVar

import pytest

from basiljunction.protocol import _http_call
from basiljunction.state import _time
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _cell_task
import instance_rig
import platform_standin

MESSAGE_S = 0.005
"""Time that each message takes, in seconds."""

MESSAGE_COUNT = 600
"""Messages that wait from the start, three seconds of work."""

READY_LIMIT_S = 2.5
"""Longest time until the task knows the cell's term, in seconds."""

_TaskT = TypeVar("_TaskT", bound=_cell_task.CellTask)


class _BusyTask(_cell_task.CellTask):
    """A cell task that takes a while for each message."""

    def handle(self, message: object, now: _time.Now) -> None:
        """Handles a message; an integer stands for one that takes time."""
        if isinstance(message, int):
            time.sleep(MESSAGE_S)
        else:
            super().handle(message, now)


class _FailingReplyTask(_cell_task.CellTask):
    """A cell task that fails to handle the reply to one call."""

    def send_failing_call(self, address: str) -> None:
        """Starts a call whose reply cannot be handled."""
        self._calls.send(
            _http_call.HttpCall(
                "GET", f"http://{address}/", timeout_s=1.0, operation="example"
            ),
            _fail_reply,
        )


def _fail_reply(_reply: _http_call.HttpReply) -> None:
    """Fails as code that did not expect the reply does."""
    raise ValueError("unexpected reply")


def _make_task(task_type: type[_TaskT], store_address: str) -> _TaskT:
    """Returns a cell task of a type, of which no server is started."""
    return task_type(
        settings=instance_rig.make_settings(
            "front-1", front_port=0, peer_port=0, store_address=store_address
        ),
        clock=_clock.SystemClock(),
        rng=random.Random(1),
        metrics=_metrics.Metrics("front-1"),
        max_connections=100,
    )


def _becomes_ready(task: _cell_task.CellTask) -> bool:
    """Runs a task until it is ready or the limit is over; stops it."""
    with futures.ThreadPoolExecutor(1) as pool:
        loop = task.start(pool)
        limit_s = time.monotonic() + READY_LIMIT_S
        while not task.is_ready and time.monotonic() < limit_s:
            time.sleep(0.02)
        is_ready = task.is_ready
        task.stop()
        loop.result()
    return is_ready


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
        task = _make_task(_BusyTask, platform.address)
        for number in range(MESSAGE_COUNT):
            task.tell(number)
        assert _becomes_ready(task)


class TestFailingReplies:
    """A reply that cannot be handled does not end the task."""

    def test_the_task_goes_on_and_names_the_call(
        self,
        platform: platform_standin.Platform,
        logs: list[Any],
    ) -> None:
        """Else the instance answers nothing and looks healthy."""
        task = _make_task(_FailingReplyTask, platform.address)
        task.send_failing_call(platform.address)
        assert _becomes_ready(task)
        (entry,) = [
            each for each in logs if each["event"] == "call.reply-error"
        ]
        assert entry["operation"] == "example"
        assert "unexpected reply" in entry["error"]
