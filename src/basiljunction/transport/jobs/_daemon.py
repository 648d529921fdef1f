"""Builds the tasks of one instance of the job scheduler and runs them."""

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
from basiljunction.transport.jobs import _apps
from basiljunction.transport.jobs import _cell_task
from basiljunction.transport.jobs import _metrics_app

FRONT_THREADS = 16
"""Calls of callers at once; each waits for the store some 10 ms."""

PEER_THREADS = 16
"""Calls of other instances at once."""

READY_THREADS = 2
"""Readiness checks at once."""

METRICS_THREADS = 2
"""Reads of the metrics at once."""

TASK_THREADS = 5
"""The cell's task and the servers."""

LEAVE_RESERVE_S = 1.5
"""Kept of the time until SIGKILL for ending the servers."""

POLL_S = 0.05
"""How often a leaving instance looks whether calls are open."""

HEADER_BYTES = 16_384
"""Largest header of a request; the configuration's own bound is the same."""

_log = structlog.get_logger()


class Daemon:
    """One instance.

    Args:
        settings: Its settings.
        clock: Where the time comes from.
        path: Its settings file; None takes it from the environment.
        metrics_port: Port of the metrics on the peers' address; None serves
            none.
    """

    def __init__(
        self,
        settings: _instance_settings.InstanceSettings,
        clock: _clock.Clock,
        path: pathlib.Path | None = None,
        metrics_port: int | None = None,
    ) -> None:
        self._settings = settings
        self._path = path
        self._leaving = threading.Event()
        self._reload = threading.Event()
        self._wake = threading.Event()
        metrics = _metrics.Metrics(settings.name)
        self._pool = futures.ThreadPoolExecutor(TASK_THREADS, "task")
        self._task = _cell_task.CellTask(
            settings=settings,
            clock=clock,
            rng=random.Random(),
            metrics=metrics,
        )
        self._servers = [
            _server(
                settings.ready_listen,
                _apps.ReadyApp(self._is_ready),
                READY_THREADS,
            ),
            _server(
                settings.peer_listen, _apps.PeerApp(self._task), PEER_THREADS
            ),
            _server(
                settings.front_listen,
                _apps.FrontApp(self._task, self._leaving.is_set, metrics),
                FRONT_THREADS,
            ),
        ]
        if metrics_port is not None:
            host, _ = _address.split(settings.peer_listen)
            self._servers.append(
                _server(
                    f"{host}:{metrics_port}",
                    _metrics_app.MetricsApp(metrics),
                    METRICS_THREADS,
                )
            )

    def run(self) -> int:
        """Serves until told to leave.

        Returns:
            The exit code.

        Raises:
            OSError: An address cannot be bound.
        """
        for server in self._servers:
            server.bind()
        self._task.start(self._pool)
        for server in self._servers:
            server.start(self._pool)
        _log.info("instance.started", zone=self._settings.zone)
        while not self._leaving.is_set():
            self._wake.wait()
            self._wake.clear()
            if self._reload.is_set():
                self._reload.clear()
                self._look_at_settings()
        self._leave()
        return 0

    def _look_at_settings(self) -> None:
        """Logs what a changed settings file says; addresses stay bound."""
        try:
            newest = platform_settings.load(self._path)
        except (platform_settings.SettingsError, OSError) as error:
            _log.warning("settings.malformed", error=str(error))
            return
        if newest.store.address != self._settings.store.address:
            self._task.tell(_cell_task.StoreMoved(newest.store.address))
        _log.info("settings.reloaded", changed=newest != self._settings)
        self._settings = newest

    def leave(self) -> None:
        """Begins to leave; safe in a signal handler."""
        self._leaving.set()
        self._wake.set()

    def reload(self) -> None:
        """Has the settings looked at again; safe in a signal handler."""
        self._reload.set()
        self._wake.set()

    def _is_ready(self) -> bool:
        return not self._leaving.is_set() and self._task.is_ready

    def _leave(self) -> None:
        """Hands the cell over and serves open connections for a while."""
        self._task.tell(_cell_task.LeaveAsked())
        end_s = time.monotonic() + (
            self._settings.bounds.grace_s - LEAVE_RESERVE_S
        )
        while time.monotonic() < end_s:
            time.sleep(POLL_S)
        _log.info("instance.leaving", quiet=self._task.is_quiet)
        with futures.ThreadPoolExecutor(len(self._servers), "stop") as pool:
            list(pool.map(_http_server.HttpServer.stop, self._servers))
        self._task.stop()
        self._pool.shutdown(wait=True)
        _log.info("instance.stopped")


def _server(
    listen: str, application: _http_server.Application, threads: int
) -> _http_server.HttpServer:
    limits = _http_limits.Limits(
        http_threads=threads,
        header_bytes=HEADER_BYTES,
        drain_s=LEAVE_RESERVE_S / 3,
    )
    return _http_server.HttpServer(
        listen=listen, application=application, limits=limits
    )


def run(
    path: pathlib.Path | None = None, metrics_port: int | None = None
) -> int:
    """Runs an instance by the settings file of the platform.

    Args:
        path: The file; None takes it from the environment.
        metrics_port: Port of the metrics; None serves none.

    Raises:
        SettingsError: A setting is missing or malformed.
        OSError: The file or an address cannot be used.
    """
    settings = platform_settings.load(path)
    daemon = Daemon(settings, _clock.SystemClock(), path, metrics_port)
    signal.signal(signal.SIGTERM, lambda *_: daemon.leave())
    signal.signal(signal.SIGINT, lambda *_: daemon.leave())
    signal.signal(signal.SIGHUP, lambda *_: daemon.reload())
    return daemon.run()
