"""The `basiljunction` command line; `main` is its root command."""

from basiljunction.cli import _main

__all__ = ["main"]

main = _main.main
"""Root click command, the program's entry point."""
