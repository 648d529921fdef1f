"""Builds the tasks of one entry instance, connects them, and runs them."""

from concurrent import futures
import contextlib
import random
import signal
import threading

import structlog

from basiljunction.coordination import _batch_core
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _events
from basiljunction.coordination import _log_buffer
from basiljunction.coordination import _timing
from basiljunction.coordination import _views
from basiljunction.protocol import _settings
from basiljunction.state import _contract
from basiljunction.state import _hours
from basiljunction.transport import _clock
from basiljunction.transport import _fold_metrics
from basiljunction.transport import _http_server
from basiljunction.transport import _live_list
from basiljunction.transport import _log_appender
from basiljunction.transport import _log_client
from basiljunction.transport import _log_reader
from basiljunction.transport import _metrics
from basiljunction.transport import _peer_links
from basiljunction.transport import _routes
from basiljunction.transport import _routes_context
from basiljunction.transport import _signals
from basiljunction.transport import _state_task
from basiljunction.transport import _task_backend
from basiljunction.transport import _urgent_task
from basiljunction.transport import _worker_calls

EXECUTOR_CALL_THREADS = 128
"""Threads for calls to executors; limits the concurrent calls."""

WORKER_CALL_THREADS = 16
"""Threads for calls to workers; limits the concurrent calls."""

TASK_THREADS = 8
"""Threads for the loops of the tasks and of the HTTP server."""

IN_FLIGHT_POLL_S = 0.05
"""Seconds between two checks for requests in flight during a drain."""

_log = structlog.get_logger()


def seconds_until_open(hours: _contract.OfficeHours, wall_s: float) -> float:
    """Returns the seconds until the office hours open next.

    Args:
        hours: Office hours of a contract.
        wall_s: Wall-clock time, in seconds.

    Returns:
        0 if they are open now; infinity if they never open again.
    """
    if _hours.is_open(hours, wall_s):
        return 0.0
    opens_s = _hours.next_opening_s(hours, wall_s)
    return float("inf") if opens_s is None else opens_s - wall_s


class _ViewBroadcaster:
    """Forwards messages to the urgent task, and fleet views to the API too.

    A fleet view is the part of the folded state that requests need: contracts,
    executors and peers. The state task publishes to one recipient; this one
    serves both.
    """

    def __init__(
        self, urgent: _urgent_task.UrgentTask, api: _routes.HttpApi
    ) -> None:
        self._urgent = urgent
        self._api = api

    def tell(self, message: object) -> None:
        """Sends a message to the urgent task; fleet views go to the API too."""
        self._urgent.tell(message)
        if isinstance(message, _views.FleetView):
            self._api.update_view(message)


class InstanceDaemon:
    """One entry instance: its tasks, thread pools and HTTP server.

    Args:
        settings: Settings of the instance.
        clock: Source of the current time.
    """

    def __init__(
        self, settings: _settings.Settings, clock: _clock.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = random.Random()
        self._signals = _signals.SignalInbox()
        self._hand_over_finished = threading.Event()
        self._exit_detail = ""
        self._metrics = _metrics.Metrics(settings.instance)
        self._task_pool = futures.ThreadPoolExecutor(TASK_THREADS, "task")
        self._calls_pool = futures.ThreadPoolExecutor(
            EXECUTOR_CALL_THREADS, "executor"
        )
        self._workers_pool = futures.ThreadPoolExecutor(
            WORKER_CALL_THREADS, "worker"
        )
        self._peer_links = _peer_links.PeerLinks(
            instance=settings.instance,
            listen=settings.peer_listen,
            clock=clock,
            rng=self._rng,
            seeds=settings.seed_peers,
        )
        self._state_task = self._make_state_task()
        self._urgent_task = self._make_urgent_task()
        self._reader = _log_reader.LogReader(
            client=_log_client.LogClient(settings.log_url),
            state=self._state_task,
            clock=clock,
            rng=self._rng,
        )
        self._appender = self._make_appender()
        self._live_list = _live_list.LiveListPoller(
            url=settings.platform_url,
            state=self._state_task,
            clock=clock,
            rng=self._rng,
        )
        self._server = self._make_server()

    def run(self) -> int:
        """Serves requests until a drain is requested, then drains and stops.

        Returns:
            The exit code: 0 after a complete drain, 1 if the drain timed out.
        """
        address = self._server.bind()
        tasks = (
            self._peer_links,
            self._state_task,
            self._urgent_task,
            self._reader,
            self._appender,
            self._live_list,
        )
        for task in tasks:
            task.start(self._task_pool)
        self._server.start(self._task_pool)
        _log.info(
            "daemon.started", http=address, peers=self._peer_links.address
        )
        self._signals.receive()
        graceful = self._drain_and_wait()
        self._server.stop()
        for task in reversed(tasks):
            task.stop()
        for pool in (self._task_pool, self._calls_pool, self._workers_pool):
            pool.shutdown(wait=False, cancel_futures=True)
        _log.info("daemon.stopped", graceful=graceful)
        return 0 if graceful else 1

    def watch_signals(self) -> contextlib.AbstractContextManager[None]:
        """Has signals request a drain inside the context.

        Only for the main thread.
        """
        return self._signals.watch(signal.SIGTERM, signal.SIGINT)

    def _drain_and_wait(self) -> bool:
        """Hands over owned machines, then waits for requests in flight to end.

        Both together take at most the ``drain_s`` of the settings.

        Returns:
            Whether the hand-over and all requests ended in time.
        """
        if not self._hand_over_finished.is_set():
            self._state_task.tell(_events.DrainRequested())
        limit_s = self._settings.limits.drain_s
        ends_boot_s = self._clock.now().boot_s + limit_s
        left = self._hand_over_finished.wait(limit_s)
        while self._urgent_task.in_flight_count:
            if self._clock.now().boot_s >= ends_boot_s:
                _log.warning(
                    "daemon.drain_timeout",
                    in_flight=self._urgent_task.in_flight_count,
                )
                return False
            threading.Event().wait(IN_FLIGHT_POLL_S)
        if not left:
            _log.warning("daemon.hand_over_timeout", waited_s=limit_s)
        return left

    def _handle_exit(self, detail: str) -> None:
        """Records that the hand-over ended; runs on the state task's thread.

        The state task calls it once this instance owns nothing.
        """
        _log.info("daemon.left", detail=detail)
        self._hand_over_finished.set()
        self._signals.put(signal.SIGTERM)

    def _make_state_task(self) -> _state_task.StateTask:
        """Returns the state task, set up from the instance's settings."""
        settings = self._settings
        identity = _timing.InstanceIdentity(
            instance=settings.instance,
            zone=settings.zone,
            group=settings.group,
            peer_address=self._peer_links.address,
            http_address=settings.http_listen,
        )
        lease = settings.lease
        timing = _timing.LeaseTiming(
            voucher_s=lease.voucher_s,
            heartbeat_s=lease.heartbeat_s,
            suspect_after_s=lease.suspect_after_s,
            guard_drift=lease.guard_drift,
        )
        return _state_task.StateTask(
            identity=identity,
            timing=timing,
            clock=self._clock,
            rng=self._rng,
            make_batch_core=lambda incarnation: _batch_core.BatchCore(
                instance=settings.instance,
                incarnation=incarnation,
                policy=_batch_model.BatchPolicy(
                    previous_owner_guard_s=timing.guard_s
                ),
            ),
            on_exit=self._handle_exit,
            on_own_verdicts=_fold_metrics.OwnVerdictMetrics(
                self._metrics
            ).record_verdicts,
            snapshot_every_entries=settings.snapshot.every_entries,
            snapshot_chunk_bytes=settings.snapshot.chunk_bytes,
            seed_peers=settings.seed_peers,
        )

    def _make_urgent_task(self) -> _urgent_task.UrgentTask:
        """Returns the task that routes latency-critical requests."""
        return _urgent_task.UrgentTask(
            instance=self._settings.instance,
            clock=self._clock,
            source=self._rng,
            seconds_until_open=seconds_until_open,
            calls_pool=self._calls_pool,
            peers=self._peer_links,
            send_to_state=self._state_task.tell,
            metrics=self._metrics,
        )

    def _make_appender(self) -> _log_appender.LogAppender:
        """Returns the task that appends records to the log in batches."""
        log = self._settings.log
        return _log_appender.LogAppender(
            client=_log_client.LogClient(self._settings.log_url),
            instance=self._settings.instance,
            buffer=_log_buffer.AppendBuffer(
                max_batch_records=log.max_batch_records,
                max_buffered_records=log.max_buffered_records,
            ),
            state=self._state_task,
            clock=self._clock,
            rng=self._rng,
            flush_s=log.flush_s,
            appends_per_s=log.appends_per_s,
        )

    def _make_server(self) -> _http_server.HttpServer:
        """Connects the tasks with each other and returns the HTTP server."""
        backend = _task_backend.TaskBackend(
            state=self._state_task, urgent=self._urgent_task
        )
        api = _routes.HttpApi(
            _routes_context.ServerDependencies(
                backend=backend,
                clock=self._clock,
                metrics=self._metrics,
                settings=self._settings,
            )
        )
        self._peer_links.set_recipients(
            state=self._state_task, urgent=self._urgent_task
        )
        self._state_task.connect(
            reader=self._reader,
            appender=self._appender,
            links=self._peer_links,
            urgent=_ViewBroadcaster(self._urgent_task, api),
            workers=_worker_calls.WorkerClient(
                pool=self._workers_pool,
                clock=self._clock,
                recipient=self._state_task,
            ),
        )
        return _http_server.HttpServer(
            listen=self._settings.http_listen,
            application=api,
            limits=self._settings.limits,
        )


def run(settings: _settings.Settings) -> int:
    """Runs one entry instance until it has drained and stopped.

    SIGTERM and SIGINT request the drain.

    Returns:
        The exit code: 0 after a complete drain, 1 if the drain timed out.
    """
    daemon = InstanceDaemon(settings, _clock.SystemClock())
    with daemon.watch_signals():
        return daemon.run()
