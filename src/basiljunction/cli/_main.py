"""The root command; each subcommand is in a module of its own."""

import importlib

import click

import basiljunction

_MODULE_BY_COMMAND = {
    "bench": "_bench",
    "completion": "_completion",
    "contract": "_contract",
    "demo": "_demo",
    "explain": "_status",
    "job": "_job",
    "platform": "_platform",
    "reference": "_reference",
    "request": "_request",
    "serve": "_serve",
    "settings": "_settings",
    "standin": "_standin",
    "status": "_status",
    "waits": "_waits",
}
"""Module in this package that defines each command, by command name."""


class LazyGroup(click.Group):
    """Click group that imports a command's module only on first use.

    A command then starts without importing the code of the others.
    """

    def list_commands(self, _context: click.Context) -> list[str]:
        """Returns the names of all commands in alphabetical order."""
        return sorted(_MODULE_BY_COMMAND)

    def get_command(
        self, _context: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Imports and returns a command; None if there is none of that name."""
        module_name = _MODULE_BY_COMMAND.get(cmd_name)
        if module_name is None:
            return None
        module = importlib.import_module(f"basiljunction.cli.{module_name}")
        command: click.Command = getattr(module, cmd_name)
        return command


@click.group(
    cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]}
)
@click.version_option(basiljunction.__version__, prog_name="basiljunction")
def main() -> None:
    """Schedule latency-critical and batch work on the same instances.

    Operators control it by contracts: write one for each customer, check it
    with `contract check`, publish it with `contract publish`, and change it
    with `contract amend`. Callers send requests with `request send` and jobs
    with `job submit`. `explain` shows the decisions about each of them.

    Commands that call an entry instance take its address from --entry or
    BASILJUNCTION_ENTRIES, and the credential from BASILJUNCTION_TOKEN. The
    exit codes are in docs/reference/exit-codes.md.
    """
