"""Runs the command-line interface for ``python -m basiljunction``."""

from basiljunction import cli

if __name__ == "__main__":
    cli.main()
