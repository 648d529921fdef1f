"""Process of one job scheduler instance: its servers, task and signals."""

from collections.abc import Collection
from concurrent import futures
import pathlib
import random
import signal
import threading
import time

import structlog

from basiljunction.platform import _settings as platform_settings
from basiljunction.protocol import _address
from basiljunction.protocol import _http_limits
from basiljunction.protocol import _instance_settings
from basiljunction.transport import _clock
from basiljunction.transport import _http_server
from basiljunction.transport import _metrics
from basiljunction.transport import _signals
from basiljunction.transport.jobs import _answer_limit
from basiljunction.transport.jobs import _apps
from basiljunction.transport.jobs import _cell_task
from basiljunction.transport.jobs import _connection_limits
from basiljunction.transport.jobs import _memory_limits
from basiljunction.transport.jobs import _metrics_app

FRONT_THREADS = 32
"""Client calls served concurrently; each waits about 10 ms for the store."""

PEER_THREADS = 64
"""Calls of peer instances served concurrently; a scheduler serves the calls of
all instances."""

RESERVED_THREADS = 8
"""Threads of each of these servers that only cancels use."""

READY_THREADS = 2
"""Readiness checks served concurrently."""

METRICS_THREADS = 2
"""Requests for the metrics served concurrently."""

CHECK_CONNECTIONS = 16
"""Most waiting and most idle connections of the servers for checks, each of
which has one or two clients."""

CHECK_BODY_BYTES = 16_384
"""Most bytes of the bodies of checks, which need none."""

TASK_THREADS = 5
"""Threads of the task pool: one for the cell task and one for each server."""

SHUTDOWN_RESERVE_S = 2.0
"""Part of the grace period before SIGKILL that is reserved for stopping the
servers, in seconds; half of it is for calls that arrive as they stop."""

ANSWER_RESERVE_S = 1.0
"""Part of the grace period that is left when the last call is answered, in
seconds: for sending the answers and for some hundred threads to end, which
takes tenths of a second on a busy host."""

LATE_ANSWER_S = 0.2
"""Time in which a request without an answer of the cell task is answered, after
the time by which the task has to answer, in seconds."""

CLOSE_RESERVE_S = 0.2
"""Part of the grace period that is left when the last connection is closed, in
seconds."""

GRACE_POLL_INTERVAL_S = 0.05
"""Interval at which a leaving instance checks the end of its grace period, in
seconds."""

_CHECK_LIMITS = _memory_limits.ServerLimits(
    connections=CHECK_CONNECTIONS,
    bodies_bytes=CHECK_BODY_BYTES,
    body_bytes=CHECK_BODY_BYTES,
)
"""Limits of the servers for checks."""

MAX_HEADER_BYTES = 16_384
"""Largest request header, in bytes; the configuration has the same bound."""

_log = structlog.get_logger()


class Daemon:
    """One instance of the job scheduler as a process.

    Args:
        settings: Settings of the instance.
        clock: Source of the current time.
        settings_path: Path of the settings file; None takes it from the
            environment.
        metrics_port: Port that serves the metrics on the host of the peer
            address; None serves no metrics.
        signals: Signals that request a reload or a shutdown; None for an
            instance that gets none.
    """

    def __init__(
        self,
        settings: _instance_settings.InstanceSettings,
        clock: _clock.Clock,
        settings_path: pathlib.Path | None = None,
        metrics_port: int | None = None,
        *,
        signals: _signals.SignalInbox | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._answer_limit = _answer_limit.AnswerLimit()
        self._task_end: futures.Future[None] | None = None
        self._settings_path = settings_path
        self._shutdown_event = threading.Event()
        self._signals = signals or _signals.SignalInbox()
        self._has_task_failed = False
        metrics = _metrics.Metrics(settings.name)
        connections = _connection_limits.divide_descriptors(
            settings.max_open_files
        )
        server_limits = _memory_limits.divide_memory(
            settings.max_memory_bytes, connections
        )
        self._pool = futures.ThreadPoolExecutor(TASK_THREADS, "task")
        self._task = _cell_task.CellTask(
            settings=settings,
            clock=clock,
            rng=random.Random(),
            metrics=metrics,
            max_connections=connections.outgoing,
        )
        self._servers = [
            _build_server(
                settings.ready_listen,
                _apps.ReadyApp(self._is_ready),
                _make_limits(READY_THREADS, _CHECK_LIMITS),
            ),
            _build_server(
                settings.peer_listen,
                _apps.PeerApp(
                    self._task,
                    _apps.CallSlots(PEER_THREADS - RESERVED_THREADS),
                    self._answer_limit,
                ),
                _make_limits(PEER_THREADS, server_limits),
            ),
            _build_server(
                settings.front_listen,
                _apps.FrontApp(
                    self._task,
                    self._shutdown_event.is_set,
                    metrics,
                    _apps.CallSlots(FRONT_THREADS - RESERVED_THREADS),
                    self._answer_limit,
                ),
                _make_limits(FRONT_THREADS, server_limits),
            ),
        ]
        if metrics_port is not None:
            host, _ = _address.split_host_and_port(settings.peer_listen)
            self._servers.append(
                _build_server(
                    f"{host}:{metrics_port}",
                    _metrics_app.MetricsApp(metrics),
                    _make_limits(METRICS_THREADS, _CHECK_LIMITS),
                )
            )

    def run(self) -> int:
        """Serves requests until a shutdown is requested or the task fails.

        Returns:
            The exit code of the process; 1 if the cell task failed.

        Raises:
            OSError: A listen address cannot be bound.
        """
        for server in self._servers:
            server.bind()
        self._task_end = self._task.start(self._pool)
        self._task_end.add_done_callback(self._note_task_end)
        for server in self._servers:
            server.start(self._pool)
        _log.info("instance.started", zone=self._settings.zone)
        while not self._shutdown_event.is_set():
            self._handle_signals(self._signals.receive())
        self._shut_down()
        return int(self._has_task_failed)

    def _handle_signals(self, numbers: Collection[int]) -> None:
        """Reloads the settings and begins the shutdown, as signals request."""
        if signal.SIGHUP in numbers:
            self._reload_settings()
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            self._shutdown_event.set()

    def _note_task_end(self, task: "futures.Future[None]") -> None:
        """Ends the process if the cell task's thread ended with an error.

        Without the task, no call is answered; the platform starts a process
        that has ended anew.
        """
        error = task.exception()
        if error is None:
            return
        _log.error("task.failed", task=self._task.name, exc_info=error)
        self._has_task_failed = True
        self.request_shutdown()

    def _reload_settings(self) -> None:
        """Reloads the settings file and applies a changed store address.

        Listen addresses stay bound as they are.
        """
        try:
            newest = platform_settings.load_settings(self._settings_path)
        except (platform_settings.SettingsError, OSError) as error:
            _log.warning("settings.malformed", error=str(error))
            return
        if newest.store.address != self._settings.store.address:
            self._task.tell(
                _cell_task.StoreAddressChanged(newest.store.address)
            )
        _log.info("settings.reloaded", changed=newest != self._settings)
        self._settings = newest

    def request_shutdown(self) -> None:
        """Requests that the instance shut down; thread-safe."""
        self._shutdown_event.set()
        self._signals.put(signal.SIGTERM)

    def _is_ready(self) -> bool:
        """Returns whether the instance accepts new connections."""
        return not self._shutdown_event.is_set() and self._task.is_ready

    def _shut_down(self) -> None:
        """Resigns the term, serves through the grace period and stops.

        Every wait ends inside the grace period. An instance whose cell task has
        failed can neither resign nor serve and stops at once.
        """
        kill_s = time.monotonic() + self._settings.bounds.grace_s
        if not self._has_task_failed:
            self._resign(kill_s)
        while (
            time.monotonic() < kill_s - SHUTDOWN_RESERVE_S
            and not self._has_task_failed
        ):
            time.sleep(GRACE_POLL_INTERVAL_S)
        if self._has_task_failed:
            self._answer_limit.set_end(time.monotonic())
        _log.info(
            "instance.leaving",
            quiet=self._task.is_idle,
            left_s=round(kill_s - time.monotonic(), 3),
        )
        self._task.tell(_cell_task.StopBegun())
        close_s = kill_s - CLOSE_RESERVE_S
        with futures.ThreadPoolExecutor(len(self._servers), "stop") as pool:
            list(pool.map(lambda each: each.stop(close_s), self._servers))
        resigned_by_s = kill_s - ANSWER_RESERVE_S
        while self._task.holds_term and time.monotonic() < resigned_by_s:
            time.sleep(GRACE_POLL_INTERVAL_S)
        self._task.stop()
        _, running = futures.wait(
            [self._task_end] if self._task_end else [],
            max(0.0, kill_s - time.monotonic()),
        )
        self._pool.shutdown(wait=False)
        if running:
            _log.error("instance.stop-overdue", waits_for=self._task.name)
            return
        _log.info(
            "instance.stopped", left_s=round(kill_s - time.monotonic(), 3)
        )

    def _resign(self, kill_s: float) -> None:
        """Has the cell task resign in time and answer all calls before SIGKILL.

        It holds a term for as long as no instance that stays requests it, until
        the servers stop.

        Args:
            kill_s: Time of SIGKILL on the monotonic clock, in seconds.
        """
        answer_by_s = kill_s - ANSWER_RESERVE_S
        self._answer_limit.set_end(answer_by_s + LATE_ANSWER_S)
        kill_boot_s = self._clock.now().boot_s + kill_s - time.monotonic()
        self._task.tell(
            _cell_task.ResignRequested(
                answer_by_boot_s=kill_boot_s - ANSWER_RESERVE_S,
                resign_by_boot_s=kill_boot_s - SHUTDOWN_RESERVE_S,
            )
        )


def _make_limits(
    threads: int, server: _memory_limits.ServerLimits
) -> _http_limits.Limits:
    """Returns the limits of a server.

    Args:
        threads: Requests handled at once.
        server: Connections and memory that it may use.
    """
    return _http_limits.Limits(
        http_threads=threads,
        waiting_connections=server.connections,
        idle_connections=server.connections,
        body_bytes=server.body_bytes,
        bodies_bytes=server.bodies_bytes,
        receive_buffer_bytes=_memory_limits.RECEIVE_BUFFER_BYTES,
        header_bytes=MAX_HEADER_BYTES,
        drain_s=SHUTDOWN_RESERVE_S / 3,
    )


def _build_server(
    listen: str,
    application: _http_server.Application,
    limits: _http_limits.Limits,
) -> _http_server.HttpServer:
    """Returns an HTTP server that is not bound to its address yet."""
    return _http_server.HttpServer(
        listen=listen, application=application, limits=limits
    )


def run(
    settings_path: pathlib.Path | None = None, metrics_port: int | None = None
) -> int:
    """Runs a job scheduler instance until SIGTERM or SIGINT.

    SIGHUP reloads the settings.

    Args:
        settings_path: Path of the platform's settings file; None takes it from
            the environment.
        metrics_port: Port that serves the metrics; None serves no metrics.

    Returns:
        The exit code of the process.

    Raises:
        SettingsError: A setting is missing or malformed.
        OSError: The file cannot be read or an address cannot be bound.
    """
    signals = _signals.SignalInbox()
    # A signal that arrives while the settings are read must not be lost.
    with signals.watch(signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        settings = platform_settings.load_settings(settings_path)
        daemon = Daemon(
            settings,
            _clock.SystemClock(),
            settings_path,
            metrics_port,
            signals=signals,
        )
        return daemon.run()
