"""Options, calls and error exits shared by commands that use the API."""

from collections.abc import Callable
import json
import os
import pathlib
import sys
from typing import Any
from typing import NoReturn

import click

from basiljunction.cli import _exit_codes
from basiljunction.protocol import _problem
from basiljunction.transport import _http_client

ENTRIES_ENV_VAR = "BASILJUNCTION_ENTRIES"
"""Environment variable with the URLs of the entry instances."""

TOKEN_ENV_VAR = "BASILJUNCTION_TOKEN"  # noqa: S105 - the name of a variable
"""Environment variable with the bearer token."""

_CREDENTIAL_REASONS = frozenset({"unauthorized", "forbidden"})
"""Reasons in problem details that mean a missing or rejected credential."""


def add_client_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds --entry, --token-file and --call-timeout-s to a click command."""
    for option in (_timeout_option, _token_option, _entry_option):
        command = option(command)
    return command


_entry_option = click.option(
    "--entry",
    "entries",
    multiple=True,
    envvar=ENTRIES_ENV_VAR,
    metavar="URL",
    help="URL of an entry instance, such as http://10.0.0.5:8080; several are"
    f" tried in turn.  [env var: {ENTRIES_ENV_VAR}, separated by spaces]",
)
"""Decorator that adds --entry, the URLs of the entry instances."""

_token_option = click.option(
    "--token-file",
    type=click.Path(path_type=pathlib.Path),
    help="File with the bearer token; without it the token is read from the"
    f" environment variable {TOKEN_ENV_VAR}.",
)
"""Decorator that adds --token-file, the file with the bearer token."""

_timeout_option = click.option(
    "--call-timeout-s",
    default=_http_client.DEFAULT_TIMEOUT_S,
    show_default=True,
    help="Timeout of one call in seconds.",
)
"""Decorator that adds --call-timeout-s, the timeout of one call."""


def create_client_or_exit(
    *,
    entries: tuple[str, ...],
    token_file: pathlib.Path | None,
    call_timeout_s: float,
) -> _http_client.ApiClient:
    """Returns an API client for the values of the shared options.

    Exits with a usage error if no entry instance is given, and with
    UNAUTHORIZED if the token file cannot be read.

    Args:
        entries: URLs of the entry instances, tried in turn.
        token_file: File with the bearer token; None for the token in the
            environment variable `TOKEN_ENV_VAR`.
        call_timeout_s: Timeout of one call.
    """
    if not entries:
        raise click.UsageError(
            f"no entry instance given; use --entry or {ENTRIES_ENV_VAR}"
        )
    return _http_client.ApiClient(
        entries, token=_read_token_or_exit(token_file), timeout_s=call_timeout_s
    )


def _read_token_or_exit(token_file: pathlib.Path | None) -> str | None:
    """Returns the bearer token from a file or else from the environment."""
    if token_file is None:
        return os.environ.get(TOKEN_ENV_VAR)
    try:
        return token_file.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        exit_with_error(
            _exit_codes.ExitCode.UNAUTHORIZED, f"{token_file}: {error}"
        )


def exit_with_error(code: _exit_codes.ExitCode, message: str) -> NoReturn:
    """Prints a message to standard error and exits with a code."""
    click.echo(message, err=True)
    sys.exit(code)


def call_or_exit(
    api: _http_client.ApiClient, request: _http_client.ApiRequest
) -> _http_client.ApiAnswer:
    """Sends a request and returns the answer if it is a success.

    Otherwise prints the error and exits with the code that fits it.
    """
    try:
        answer = api.send_request(request)
    except _http_client.UnreachableError as error:
        exit_with_error(
            _exit_codes.ExitCode.UNREACHABLE, f"not reached: {error}"
        )
    except _http_client.UnansweredError as error:
        exit_with_error(_exit_codes.ExitCode.UNKNOWN, f"no answer: {error}")
    if not answer.is_success:
        exit_with_problem(answer)
    return answer


def call_json_or_exit(
    api: _http_client.ApiClient, request: _http_client.ApiRequest
) -> dict[str, Any]:
    """Sends a request and returns the JSON object of a successful answer.

    Otherwise prints the error and exits with the code that fits it.
    """
    return decode_json_or_exit(call_or_exit(api, request))


def decode_json_or_exit(answer: _http_client.ApiAnswer) -> dict[str, Any]:
    """Returns an answer's body as a JSON object; exits if it is not one."""
    try:
        body = json.loads(answer.body)
    except ValueError:
        body = None
    if not isinstance(body, dict):
        exit_with_error(
            _exit_codes.ExitCode.FAILED,
            f"{answer.base_url}: the response body is not a JSON object",
        )
    return body


def exit_with_problem(answer: _http_client.ApiAnswer) -> NoReturn:
    """Prints the problem in an error answer and exits with its exit code.

    An answer without problem details exits with FAILED and its HTTP status.
    """
    problem = answer.problem_details
    if problem is None:
        exit_with_error(
            _exit_codes.ExitCode.FAILED,
            f"{answer.base_url}: HTTP status {answer.status}",
        )
    exit_with_error(
        exit_code_for_problem(problem), format_problem(answer.base_url, problem)
    )


def exit_code_for_problem(
    problem: _problem.ProblemDetails,
) -> _exit_codes.ExitCode:
    """Returns the exit code that stands for an answer's problem details."""
    if problem.reason in _CREDENTIAL_REASONS:
        return _exit_codes.ExitCode.UNAUTHORIZED
    if problem.current_version is not None:
        return _exit_codes.ExitCode.CONFLICT
    if problem.outcome == "unknown":
        return _exit_codes.ExitCode.UNKNOWN
    if problem.problems:
        return _exit_codes.ExitCode.INVALID
    return _exit_codes.ExitCode.REFUSED


def format_problem(entry: str, problem: _problem.ProblemDetails) -> str:
    """Returns problem details as human-readable lines.

    Args:
        entry: URL of the entry instance that answered.
        problem: The problem details of its answer.
    """
    lines = [
        f"{problem.outcome}: {problem.detail or problem.title}",
        f"  step {problem.step}, peer {problem.peer}, reason {problem.reason},"
        f" request {problem.request_id}, entry {entry}",
    ]
    if problem.retry_after_s is not None:
        lines.append(f"  retry after {problem.retry_after_s:g} s")
    lines.extend(
        f"  {each.field}: found {each.found}; allowed: {each.allowed}"
        for each in problem.problems
    )
    lines.extend(
        f"  {change.field}: {change.before!r} in force,"
        f" {change.after!r} submitted"
        for change in problem.changes
    )
    return "\n".join(lines)


def echo_json(value: object) -> None:
    """Prints a value to standard output as indented JSON."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))
