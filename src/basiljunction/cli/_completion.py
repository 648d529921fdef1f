"""The ``completion`` command, which prints shell completion scripts."""

import click
from click import shell_completion

PROGRAM_NAME = "basiljunction"
"""Name of the program that the completion script completes."""

_COMPLETION_ENV_VAR = "_BASILJUNCTION_COMPLETE"
"""Environment variable by which the script asks click for completions."""


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for SHELL.

    For bash: basiljunction completion bash > ~/.basiljunction-complete.bash,
    then source that file from ~/.bashrc.
    """
    completion_class = shell_completion.get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"shell {shell!r} has no completion")
    root = context.find_root().command
    click.echo(
        completion_class(root, {}, PROGRAM_NAME, _COMPLETION_ENV_VAR).source()
    )
