"""Polls the platform's list of instances, workers and executors.

The list may lag behind the real state.
"""

import io
import random

import pycurl
import pydantic
import structlog

from basiljunction.coordination import _events
from basiljunction.state import _time
from basiljunction.transport import _backoff
from basiljunction.transport import _clock
from basiljunction.transport import _state_messages
from basiljunction.transport import _task

_POLL_INTERVAL_S = 1.0
"""Time between two polls, in seconds."""

_TIMEOUT_MS = 5000
"""Longest time of one poll, in milliseconds."""

_log = structlog.get_logger()


class _Listed(pydantic.BaseModel):
    """One listed instance, worker or executor; other fields are ignored.

    Attributes:
        name: Id of the instance, worker or executor.
        role: ``entry``, ``worker`` or ``executor``.
        zone: Availability zone.
        rack: Rack; empty if unknown.
        address: Base URL; empty if unknown.
        leaving: Whether the platform reports that it is leaving.
        worker: Worker that an executor runs on; empty for other roles.
        slots: Number of requests that an executor runs at once.
        connections: Number of connections that an executor accepts.
        millicores: Processor capacity of a worker.
        memory_mib: Memory capacity of a worker.
        accelerators: Number of accelerators of a worker.
    """

    name: str
    role: str
    zone: str
    rack: str = ""
    address: str = ""
    leaving: bool = False
    worker: str = ""
    slots: int = 0
    connections: int = 0
    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0


class _Answer(pydantic.BaseModel):
    """The platform's answer to a poll.

    Attributes:
        as_of: Unix time of the list, in seconds.
        instances: The listed instances.
    """

    as_of: float
    instances: list[_Listed]


def parse_live_list(body: bytes) -> _events.LiveListRead:
    """Parses the JSON answer of the platform's list of instances.

    Raises:
        pydantic.ValidationError: The answer is malformed.
    """
    answer = _Answer.model_validate_json(body)
    return _events.LiveListRead(
        machines=tuple(
            _events.LiveMachine(**each.model_dump())
            for each in answer.instances
        ),
        as_of_wall_s=answer.as_of,
    )


class LiveListPoller(_task.Task):
    """Polls the platform's list of instances for the state task.

    Args:
        url: Base URL of the platform's API.
        state: Receives ``LiveListRead`` after each successful poll.
        clock: Source of the current time.
        rng: Random source of the retry jitter.
    """

    def __init__(
        self,
        *,
        url: str,
        state: _state_messages.MessageReceiver,
        clock: _clock.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(name="live-list", clock=clock, tick_s=0.1)
        self._url = f"{url.rstrip('/')}/instances"
        self._state = state
        self._backoff = _backoff.Backoff(rng=rng, initial_s=0.5, max_s=5.0)
        self._next_poll_s = float("-inf")
        self._handle = pycurl.Curl()

    def handle(self, message: object, now: _time.Now) -> None:
        """Ignores the message; this task expects none."""

    def tick(self, now: _time.Now) -> None:
        """Polls the list if the next poll is due; failures are retried."""
        if now.boot_s < self._next_poll_s:
            return
        try:
            listed = parse_live_list(self._fetch())
        except (pycurl.error, pydantic.ValidationError) as error:
            wait_s = self._backoff.next_wait_s()
            _log.warning("live-list.failed", detail=str(error)[:200])
        else:
            wait_s = _POLL_INTERVAL_S
            self._backoff.reset()
            self._state.tell(listed)
        self._next_poll_s = self._clock.now().boot_s + wait_s

    def _fetch(self) -> bytes:
        body = io.BytesIO()
        self._handle.reset()
        self._handle.setopt(pycurl.URL, self._url)
        self._handle.setopt(pycurl.NOSIGNAL, 1)
        self._handle.setopt(pycurl.TIMEOUT_MS, _TIMEOUT_MS)
        self._handle.setopt(pycurl.FAILONERROR, 1)
        self._handle.setopt(pycurl.PROXY, "")
        self._handle.setopt(pycurl.WRITEDATA, body)
        self._handle.perform()
        return body.getvalue()
