"""Runs the command-line interface for ``python -m basiljunction``."""

import signal
import sys

if sys.argv[1:2] == ["platform"]:
    # The settings are read later; until then there is nothing to reload. The
    # default action would end the process while the modules are imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from basiljunction import cli

main = cli.main

if __name__ == "__main__":
    main()
