"""The ``job`` commands, which submit, show and cancel batch jobs."""

import pathlib
from typing import Any
from urllib import parse

import click

from basiljunction.cli import _client
from basiljunction.cli import _exit_codes
from basiljunction.protocol import _job_document
from basiljunction.protocol import _jsonc
from basiljunction.transport import _http_client

FILE_PATH_TYPE = click.Path(path_type=pathlib.Path)
"""Click type of a job file argument, passed as a `pathlib.Path`."""


@click.group()
def job() -> None:
    """Submit, show and cancel batch jobs."""


@job.command()
@click.argument("file", type=FILE_PATH_TYPE)
@_client.add_client_options
def submit(file: pathlib.Path, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Submit the job in FILE, JSON with comments.

    Submitting it again under the same name changes nothing, so the command can
    be repeated if the answer was lost (exit code 6).
    """
    try:
        document = _job_document.load_job_document(
            _jsonc.read_text_file(file), source=str(file)
        )
    except _jsonc.DocumentError as error:
        _client.exit_with_error(_exit_codes.ExitCode.INVALID, str(error))
    call = _http_client.ApiRequest(
        "POST",
        "/v1/jobs",
        document.model_dump_json().encode(),
        {"Content-Type": "application/json"},
    )
    body = _client.call_json_or_exit(
        _client.create_client_or_exit(**options), call
    )
    again = " by an earlier try" if body["repeated"] else ""
    click.echo(f"accepted once{again}: {body['job_id']}")


@job.command()
@click.argument("job_id")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@_client.add_client_options
def status(job_id: str, as_json: bool, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Show the state of job JOB_ID and of its tasks."""
    _print_job(_call_job_api_or_exit("GET", job_id, options), as_json)


@job.command()
@click.argument("job_id")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@_client.add_client_options
def cancel(job_id: str, as_json: bool, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Cancel job JOB_ID and stop its running tasks."""
    _print_job(_call_job_api_or_exit("DELETE", job_id, options), as_json)


@job.command("list")
@click.option(
    "--customer", default="", help="Only jobs of this customer (operators)."
)
@click.option("--open", "only_open", is_flag=True, help="Only unfinished jobs.")
@click.option("--limit", default=100, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@_client.add_client_options
def list_jobs(
    customer: str,
    only_open: bool,
    limit: int,
    as_json: bool,
    **options: Any,  # noqa: ANN401 - click's options
) -> None:
    """List jobs, newest first."""
    query = {"limit": str(limit), "state": "open" if only_open else "all"}
    if customer:
        query["customer"] = customer
    path = f"/v1/jobs?{parse.urlencode(query)}"
    body = _client.call_json_or_exit(
        _client.create_client_or_exit(**options),
        _http_client.ApiRequest("GET", path),
    )
    if as_json:
        _client.echo_json(body)
        return
    for each in body["jobs"]:
        click.echo(_format_job_line(each))
    if body["truncated"]:
        click.echo(f"more than {limit} jobs; raise --limit to list the others")


def _call_job_api_or_exit(
    method: str, job_id: str, options: dict[str, Any]
) -> dict[str, Any]:
    """Sends GET or DELETE for one job; returns the job's JSON or exits."""
    path = f"/v1/jobs/{parse.quote(job_id, safe='')}"
    return _client.call_json_or_exit(
        _client.create_client_or_exit(**options),
        _http_client.ApiRequest(method, path),
    )


def _format_job_line(body: dict[str, Any]) -> str:
    """Returns a job as one line: id, class and task counts by phase."""
    phases = ", ".join(
        f"{count} {phase}" for phase, count in body["tasks_by_phase"].items()
    )
    mark = " (cancelled)" if body["cancelled"] else ""
    return f"{body['job_id']:40} {body['class_name']:24} {phases}{mark}"


def _print_job(body: dict[str, Any], as_json: bool) -> None:
    """Prints a job and its tasks as JSON or as one line each."""
    if as_json:
        _client.echo_json(body)
        return
    click.echo(_format_job_line(body))
    for task in body["tasks"]:
        where = f" on {task['machine']}" if task["machine"] else ""
        why = f": {task['reason']}" if task["reason"] else ""
        click.echo(
            f"  {task['name']:30} {task['phase']:10}"
            f" attempt {task['attempt']}{where}{why}"
        )
