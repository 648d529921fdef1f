"""The ``standin`` commands, which serve stand-ins of outside systems."""

from concurrent import futures
import json
import pathlib
import time

import click

from basiljunction.standin import _executor
from basiljunction.standin import _interference
from basiljunction.standin import _log
from basiljunction.standin import _platform
from basiljunction.standin import _server
from basiljunction.standin import _worker

DEFAULT_SEED = 20261203
"""Seed of the random source if --seed is not given."""

LOG_SERVER_THREADS = 64
"""HTTP server threads of the stand-in for the log service."""

SERVER_THREADS_PER_MACHINE = 14
"""HTTP server threads for each machine: an executor, a worker or both."""

MIN_SERVER_THREADS = 32
"""Fewest HTTP server threads of a stand-in process."""

_port_option = click.option(
    "--port",
    default=0,
    help="Port on the loopback address; 0 for any free port.",
)
"""Decorator that adds --port, the port to listen on."""

_seed_option = click.option("--seed", default=DEFAULT_SEED, show_default=True)
"""Decorator that adds --seed, the seed of the random source."""

_count_option = click.option("--count", default=1, help="Number of stand-ins.")
"""Decorator that adds --count, the number of stand-ins to serve."""

_names_option = click.option(
    "--names", default="", help="Their names, separated by commas."
)
"""Decorator that adds --names, the names of the stand-ins."""

_service_time_option = click.option(
    "--service-ms",
    "service_ms",
    multiple=True,
    metavar="CLASS=MS",
    help="Median service time of a class; may be repeated.",
)
"""Decorator that adds --service-ms, median service times by class."""

_delay_option = click.option(
    "--delay-ms", default=0.0, help="One-way delay in front of an executor."
)
"""Decorator that adds --delay-ms, the network delay to an executor."""


@click.group()
def standin() -> None:
    """Stand in for an outside system, for tests and the demo.

    Each command prints one JSON line with its address once it listens, and
    serves until it is ended. Each stand-in answers GET /journal and POST
    /fault.
    """


@standin.command("log")
@_port_option
@click.option("--retention-entries", default=0, help="Entries kept; 0 for all.")
@click.option(
    "--retention-s",
    default=0.0,
    help="Least seconds an entry is kept; 0 for ever.",
)
@click.option(
    "--appends-per-s", default=0, help="Most appends a second; 0 for no limit."
)
def log(
    port: int, retention_entries: int, retention_s: float, appends_per_s: int
) -> None:
    """Stand in for the append-only log service."""
    stand_in = _log.LogStandIn(
        retention_entries=retention_entries,
        retention_s=retention_s,
        appends_per_s=appends_per_s,
    )
    _print_addresses_and_serve(
        _server.StandInServer(
            [stand_in], port=port, threads=LOG_SERVER_THREADS
        ),
        [""],
    )


@standin.command("platform")
@_port_option
@click.option(
    "--instances",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="JSON file with the initial list of instances.",
)
@click.option("--lag-s", default=1.0, show_default=True)
def platform(port: int, instances: pathlib.Path | None, lag_s: float) -> None:
    """Stand in for the platform's list of instances, which lags."""
    listed = []
    if instances is not None:
        listed = json.loads(instances.read_text(encoding="utf-8"))["instances"]
    stand_in = _platform.InstanceListStandIn(listed, lag_s=lag_s)
    _print_addresses_and_serve(
        _server.StandInServer(
            [stand_in], port=port, threads=MIN_SERVER_THREADS
        ),
        [""],
    )


@standin.command("executor")
@_port_option
@_count_option
@_names_option
@_seed_option
@_service_time_option
@_delay_option
def executor(  # noqa: PLR0917 - click passes each option by name
    port: int,
    count: int,
    names: str,
    seed: int,
    service_ms: tuple[str, ...],
    delay_ms: float,
) -> None:
    """Stand in for executors, each served at /NAME."""
    chosen = _split_or_number_names(names, count, "executor")
    executors = [
        _executor.ExecutorStandIn(
            name,
            interference=_interference.SimulatedInterference(seed),
            seed=seed,
            service_s_by_class=_parse_service_times(service_ms),
            delay_s=delay_ms / 1000,
        )
        for name in chosen
    ]
    threads = max(MIN_SERVER_THREADS, SERVER_THREADS_PER_MACHINE * len(chosen))
    _print_addresses_and_serve(
        _server.StandInServer(executors, port=port, threads=threads), chosen
    )


@standin.command("worker")
@_port_option
@_count_option
@_names_option
@_seed_option
@_service_time_option
@_delay_option
@click.option("--millicores", default=32_000, show_default=True)
@click.option("--memory-mib", default=128_000, show_default=True)
@click.option("--accelerators", default=0, show_default=True)
@click.option("--usage-lag-s", default=1.0, show_default=True)
@click.option(
    "--run-time-spread",
    default=2.0,
    show_default=True,
    help="Greatest factor between declared and actual run time.",
)
@click.option(
    "--with-executors",
    is_flag=True,
    help="Serve an executor on each worker too, at /NAME-executor.",
)
def worker(  # noqa: PLR0917 - click passes each option by name
    port: int,
    count: int,
    names: str,
    seed: int,
    service_ms: tuple[str, ...],
    delay_ms: float,
    millicores: int,
    memory_mib: int,
    accelerators: int,
    usage_lag_s: float,
    run_time_spread: float,
    with_executors: bool,
) -> None:
    """Stand in for workers, each served at /NAME."""
    chosen = _split_or_number_names(names, count, "worker")
    workers = []
    executors = []
    for name in chosen:
        interference = _interference.SimulatedInterference(seed)
        workers.append(
            _worker.WorkerStandIn(
                name,
                interference=interference,
                seed=seed,
                millicores=millicores,
                memory_mib=memory_mib,
                accelerators=accelerators,
                usage_lag_s=usage_lag_s,
                run_time_spread=run_time_spread,
            )
        )
        if with_executors:
            executors.append(
                _executor.ExecutorStandIn(
                    f"{name}-executor",
                    interference=interference,
                    seed=seed,
                    service_s_by_class=_parse_service_times(service_ms),
                    delay_s=delay_ms / 1000,
                )
            )
    threads = max(MIN_SERVER_THREADS, SERVER_THREADS_PER_MACHINE * len(chosen))
    server = _server.StandInServer(
        [*workers, *executors], port=port, threads=threads
    )
    with futures.ThreadPoolExecutor(1) as pool:
        pool.submit(_advance_workers_forever, workers)
        _print_addresses_and_serve(server, chosen)


def _advance_workers_forever(workers: list[_worker.WorkerStandIn]) -> None:
    """Advances the workers every `ADVANCE_INTERVAL_S` seconds, without end."""
    while True:
        for each in workers:
            each.advance_time()
        time.sleep(_worker.ADVANCE_INTERVAL_S)


def _split_or_number_names(names: str, count: int, prefix: str) -> list[str]:
    """Returns the comma-separated names, or `count` numbered ones if none."""
    if names:
        return names.split(",")
    return [f"{prefix}-{number}" for number in range(1, count + 1)]


def _parse_service_times(service_ms: tuple[str, ...]) -> dict[str, float]:
    """Returns service times in seconds by class from CLASS=MS options."""
    pairs = [each.split("=", 1) for each in service_ms]
    return {name: float(milliseconds) / 1000 for name, milliseconds in pairs}


def _print_addresses_and_serve(
    server: _server.StandInServer, names: list[str]
) -> None:
    """Prints a JSON line with the addresses, then serves until stopped."""
    addresses = {name: f"{server.address}/{name}".rstrip("/") for name in names}
    click.echo(
        json.dumps({"address": server.address, "address_by_name": addresses})
    )
    server.serve()
