"""Structured logging with structlog."""

from collections.abc import MutableMapping
import functools
import logging
import sys
from typing import Any
from typing import TextIO

import structlog

SECRET_WORDS = ("authorization", "credential", "password", "secret", "token")
"""A log field whose lower-case name contains one of these is redacted."""

REDACTED = "redacted"
"""Replaces the value of a redacted field."""


@functools.lru_cache(maxsize=1024)
def _names_secret(key: str) -> bool:
    """Returns whether the name of a log field contains a secret word.

    Kept by name: a scheduler logs thousands of lines a second with few names.
    """
    lower_key = key.lower()
    return any(word in lower_key for word in SECRET_WORDS)


def redact_secrets(
    _logger: object, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Replaces the values of log fields whose names contain a secret word."""
    for key in event:
        if _names_secret(key):
            event[key] = REDACTED
    return event


def _add_instance(
    instance: str,
    _logger: object,
    _method: str,
    event: MutableMapping[str, Any],
) -> MutableMapping[str, Any]:
    """Adds the instance's name to a log event that has none."""
    event.setdefault("instance", instance)
    return event


def configure_logging(
    *,
    level: str,
    log_format: str,
    instance: str = "",
    stream: TextIO | None = None,
) -> None:
    """Configures logging for the whole process.

    Args:
        level: Lowest level to log: debug, info, warning or error.
        log_format: ``json``, or ``console`` for people.
        instance: Name of the instance, added to each line.
        stream: Output stream; standard error if None.
    """
    target = sys.stderr if stream is None else stream
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            functools.partial(_add_instance, instance),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            redact_secrets,
            structlog.processors.format_exc_info,
            _renderer(log_format, target),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        # Passes on a line in one piece, so that it takes one system call.
        logger_factory=structlog.WriteLoggerFactory(target),
        cache_logger_on_first_use=stream is None,
    )
    logging.basicConfig(stream=target, level=logging.WARNING, force=True)


def _renderer(log_format: str, target: TextIO) -> structlog.types.Processor:
    """Returns the processor that formats an event in the log format."""
    if log_format == "json":
        return structlog.processors.JSONRenderer(default=str)
    return structlog.dev.ConsoleRenderer(colors=target.isatty())
