"""A cell task that a test drives step by step on a clock of its own."""

from collections.abc import Callable
from concurrent import futures
import random
import socket
import time

from basiljunction.platform import _store
from basiljunction.protocol import _instance_settings
from basiljunction.protocol import _job_records
from basiljunction.state import _time
from basiljunction.state.workload import _client_calls
from basiljunction.state.workload import _leadership
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _cell_task
import platform_standin
import workload_builders as build

STEP_S = 0.01
"""Time of the task's clock for one step, in seconds."""

MAX_STEPS = 1500
"""Most steps until a condition holds; far more than it usually takes."""

CALL_TIMEOUT_S = 1.5
"""Time for which a call waits, in seconds; shorter than the time after which
this instance may replace a successor that does not renew its term."""


class _SteppedClock(_clock.Clock):
    """A clock that stands still until its time is set."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def now(self) -> _time.Now:
        return build.clock_readings_at(self.now_s)


class SteppedCell:
    """An instance whose process may stop for any length of time.

    Args:
        platform: The platform that it uses.

    Attributes:
        task: Its cell task, which does not run by itself.
    """

    def __init__(self, platform: platform_standin.Platform) -> None:
        self._platform = platform
        self._clock = _SteppedClock()
        # The successor takes connections and answers nothing.
        self._successor = socket.create_server(("127.0.0.1", 0))
        self.task = _cell_task.CellTask(
            settings=_instance_settings.InstanceSettings(
                name="a",
                zone="zone-a",
                front_listen="127.0.0.1:1",
                ready_listen="127.0.0.1:2",
                peer_listen="127.0.0.1:3",
                store=_instance_settings.StoreSettings(
                    platform.address, 800, 2000, 262144, 2097152
                ),
                bounds=_instance_settings.DeploymentTimeLimits(
                    4, 10, 120, 3, 0.9, 4
                ),
                heartbeat_s=0.5,
            ),
            clock=self._clock,
            rng=random.Random(1),
            metrics=_metrics.Metrics("a"),
            max_connections=100,
        )

    def close(self) -> None:
        """Closes the address of the successor."""
        self._successor.close()

    def schedule(self) -> None:
        """Runs until the instance answers calls as scheduler."""
        self.run_until(self.task.is_scheduling)

    def run_until(self, check: Callable[[], object]) -> None:
        """Runs the task step by step until a condition holds."""
        for _ in range(MAX_STEPS):
            self.task.handle_pending_messages()
            if check():
                return
            self._clock.now_s += STEP_S
            time.sleep(STEP_S / 2)
        raise AssertionError("condition not met in time")

    def run(self, seconds: float) -> None:
        """Runs the task for some time of its clock."""
        end_s = self._clock.now_s + seconds
        self.run_until(lambda: self._clock.now_s >= end_s)

    def stop(self, seconds: float) -> None:
        """Stops the process for some time; nothing of it runs then."""
        self._clock.now_s += seconds

    def replace(self) -> None:
        """Has another instance take the term over and fence the old one."""
        (_, newest) = self._platform.topics[_store.TERM_TOPIC].newest_by_key[
            _store.TERM_KEY
        ]
        epoch = _job_records.decode_term(newest).epoch + 1
        port = self._successor.getsockname()[1]
        value = _job_records.encode_term(
            _leadership.Term(epoch, "b", 1, f"127.0.0.1:{port}")
        )
        key = _store.TERM_KEY.encode()
        with self._platform.lock:
            self._platform.topics[_store.TERM_TOPIC].append_record(
                bytes([len(key)]) + key + value
            )
            self._platform.topics[_store.JOB_TOPIC].epoch = epoch

    def call(
        self,
        kind: _client_calls.CallKind,
        job: str = "00000000000000a1",
        encoded_job: bytes = b"",
        *,
        is_forwarded: bool = False,
    ) -> "futures.Future[_client_calls.ClientReply]":
        """Sends a call to the task, which handles it with its next step."""
        reply: futures.Future[_client_calls.ClientReply] = futures.Future()
        call = _client_calls.ClientCall(kind, "/jobs/", job, encoded_job)
        self.task.tell(
            _cell_task.CallReceived(call, reply, CALL_TIMEOUT_S, is_forwarded)
        )
        return reply

    def answer(
        self,
        kind: _client_calls.CallKind,
        job: str = "00000000000000a1",
        encoded_job: bytes = b"",
        *,
        is_forwarded: bool = False,
    ) -> _client_calls.CallOutcome:
        """Runs until a call is answered; returns the outcome."""
        reply = self.call(kind, job, encoded_job, is_forwarded=is_forwarded)
        self.run_until(reply.done)
        return reply.result().outcome
