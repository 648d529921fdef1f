"""Exit codes of the command line; see docs/reference/exit-codes.md."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the program and the result that each one reports."""

    OK = 0
    """Success; a published contract was accepted exactly once."""

    FAILED = 1
    """Failed for a reason without its own code; see standard error."""

    USAGE = 2
    """The command line arguments are invalid."""

    INVALID = 3
    """A settings, contract or job document is malformed."""

    REFUSED = 4
    """Refused; certainly nothing was changed or run."""

    CONFLICT = 5
    """Another operator's version was accepted first; this one was not."""

    UNKNOWN = 6
    """May have taken effect; the message says how to find out."""

    UNREACHABLE = 7
    """No entry instance could be reached."""

    UNAUTHORIZED = 8
    """The credential is missing, unknown, or not allowed to do this."""
