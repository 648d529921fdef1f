"""The ``serve`` command, which runs an entry instance."""

import importlib
import pathlib
import sys

import click

from basiljunction.cli import _exit_codes
from basiljunction.cli import _settings
from basiljunction.transport import _logging


@click.command()
@click.option(
    "--settings",
    "settings_file",
    type=_settings.FILE_PATH_TYPE,
    required=True,
    help="Settings file of this instance, JSON with comments.",
)
def serve(settings_file: pathlib.Path) -> None:
    """Run one entry instance until it receives SIGTERM.

    On SIGTERM it hands over its machines, finishes the requests in progress
    and exits with 0. It writes no files; logs go to standard error.
    """
    settings = _settings.load_settings_or_exit(settings_file)
    _logging.configure_logging(
        level=settings.logging.level,
        log_format=settings.logging.format,
        instance=settings.instance,
    )
    daemon = importlib.import_module("basiljunction.transport._daemon")
    try:
        code = daemon.run(settings)
    except OSError as error:
        click.echo(f"cannot listen: {error}", err=True)
        sys.exit(_exit_codes.ExitCode.FAILED)
    sys.exit(code)
