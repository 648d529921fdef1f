"""The ``settings`` commands, which check and describe settings files."""

import json
import pathlib
import sys

import click

from basiljunction.cli import _exit_codes
from basiljunction.protocol import _jsonc
from basiljunction.protocol import _settings

FILE_PATH_TYPE = click.Path(path_type=pathlib.Path)
"""Click type of a settings file argument, passed as a `pathlib.Path`."""


def load_settings_or_exit(path: pathlib.Path) -> _settings.Settings:
    """Returns the settings in a file; prints errors and exits if invalid."""
    try:
        return _settings.load_settings(path)
    except _jsonc.DocumentError as error:
        click.echo(str(error), err=True)
        sys.exit(_exit_codes.ExitCode.INVALID)


@click.group()
def settings() -> None:
    """Check settings files and print their JSON schema."""


@settings.command()
@click.argument("file", type=FILE_PATH_TYPE)
def check(file: pathlib.Path) -> None:
    """Check the settings in FILE and print each error with line and field.

    Exits with 0 if the file is valid and with 3 if it is not.
    """
    loaded = load_settings_or_exit(file)
    click.echo(f"{file}: settings of instance {loaded.instance} are valid")


@settings.command()
def schema() -> None:
    """Print the JSON schema of settings files."""
    click.echo(json.dumps(_settings.settings_json_schema(), indent=2))
