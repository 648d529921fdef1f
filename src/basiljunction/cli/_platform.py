"""The ``platform`` command: runs an instance on the users' platform."""

import importlib
import os
import pathlib
import sys
import typing

import click

from basiljunction.cli import _exit_codes
from basiljunction.platform import _settings
from basiljunction.transport import _line_writer
from basiljunction.transport import _logging


@click.command("platform")
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    help="Settings file of the platform; by default"
    " BASILJUNCTION_CONFIG gives its path.",
)
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
    help="Lowest level that is logged.",
)
@click.option(
    "--metrics-port",
    type=click.IntRange(1, 65535),
    envvar="BASILJUNCTION_METRICS_PORT",
    show_envvar=True,
    help="Port of the metrics on the instance's address; by default none.",
)
def platform(
    settings_file: pathlib.Path | None,
    log_level: str,
    metrics_port: int | None,
) -> None:
    """Run one instance of the job scheduler on the users' platform.

    It answers callers, and schedules the executors while it is the leader of
    the current term. Logs go to standard output; metrics are served if a port
    is given. On SIGTERM it hands over to another instance and exits.
    """
    try:
        settings = _settings.load_settings(settings_file)
    except (_settings.SettingsError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(_exit_codes.ExitCode.FAILED)
    stream = _line_writer.NonBlockingLineWriter(sys.stdout.fileno())
    _logging.configure_logging(
        level=log_level,
        log_format="json",
        instance=settings.name,
        stream=typing.cast(typing.TextIO, stream),
    )
    chains = importlib.import_module(
        "basiljunction.transport.jobs._budget_chains"
    )
    chains.report_unkept_bounds(settings)
    daemon = importlib.import_module("basiljunction.transport.jobs._daemon")
    try:
        code = daemon.run(settings_file, metrics_port)
    except OSError as error:
        click.echo(f"cannot listen: {error}", err=True)
        sys.exit(_exit_codes.ExitCode.FAILED)
    # The interpreter would wait for every thread and free all objects, which
    # takes seconds of the grace period on a busy host and changes nothing.
    stream.flush()
    os._exit(code)
