"""The ``request`` commands, which send latency-critical requests."""

import sys
from typing import Any
from typing import BinaryIO
from urllib import parse

import click

from basiljunction.cli import _client
from basiljunction.cli import _exit_codes
from basiljunction.transport import _http_client


@click.group()
def request() -> None:
    """Send latency-critical requests."""


@request.command()
@click.argument("class_name")
@click.option(
    "--body",
    type=click.File("rb"),
    help="File with the body; - for standard input. Default: an empty body.",
)
@click.option(
    "--content-type", default="application/octet-stream", show_default=True
)
@click.option(
    "--deadline-s",
    type=float,
    help="Seconds within which the answer is needed.",
)
@click.option(
    "--key", help="Idempotency key; required for non-idempotent classes."
)
@_client.add_client_options
def send(
    class_name: str,
    body: BinaryIO | None,
    content_type: str,
    deadline_s: float | None,
    key: str | None,
    **options: Any,  # noqa: ANN401 - click's options
) -> None:
    """Send one request of class CLASS_NAME and print the answer's body.

    Exits with 0 if it ran and the answer is a success, 1 if it ran and the
    answer is an error, 4 if it certainly did not run, 6 if that is unknown.
    """
    headers = {"Content-Type": content_type}
    if deadline_s is not None:
        headers["X-Deadline-S"] = str(deadline_s)
    if key is not None:
        headers["Idempotency-Key"] = key
    call = _http_client.ApiRequest(
        "POST",
        f"/v1/services/{parse.quote(class_name, safe='')}",
        body.read() if body is not None else b"",
        headers,
        is_repeatable=False,
    )
    answer = _send_or_exit(_client.create_client_or_exit(**options), call)
    sys.stdout.buffer.write(answer.body)
    sys.stdout.buffer.flush()
    if not answer.is_success:
        _client.exit_with_error(
            _exit_codes.ExitCode.FAILED,
            f"request ran; the executor answered with status {answer.status}",
        )


def _send_or_exit(
    api: _http_client.ApiClient, call: _http_client.ApiRequest
) -> _http_client.ApiAnswer:
    """Sends a request and returns the answer if an executor ran it.

    Otherwise prints the problem and exits with the code that fits it.
    """
    try:
        answer = api.send_request(call)
    except _http_client.UnreachableError as error:
        _client.exit_with_error(
            _exit_codes.ExitCode.UNREACHABLE, f"not-run: not reached: {error}"
        )
    except _http_client.UnansweredError as error:
        _client.exit_with_error(
            _exit_codes.ExitCode.UNKNOWN, f"unknown: no answer: {error}"
        )
    if answer.headers.get("basiljunction-outcome") != "completed":
        _client.exit_with_problem(answer)
    return answer
