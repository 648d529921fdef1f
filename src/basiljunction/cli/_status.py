"""The ``status`` and ``explain`` commands, which show scheduler state."""

import datetime as dt
from typing import Any
from urllib import parse

import click

from basiljunction.cli import _client
from basiljunction.transport import _http_client


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@_client.add_client_options
def status(as_json: bool, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Show the state of an entry instance and the members it knows."""
    body = _client.call_json_or_exit(
        _client.create_client_or_exit(**options),
        _http_client.ApiRequest("GET", "/v1/status"),
    )
    if as_json:
        _client.echo_json(body)
        return
    state = "ready" if body["ready"] else "not ready"
    if body["leaving"]:
        state = "leaving"
    click.echo(
        f"{body['instance']} (incarnation {body['incarnation']},"
        f" zone {body['zone']}): {state}, log offset {body['next_offset']}"
    )
    click.echo(
        f"  owns {body['owned_machines']} machines;"
        f" {body['running_tasks']} tasks running,"
        f" {body['pending_tasks']} pending"
    )
    for customer, version in body["version_by_customer"].items():
        click.echo(f"  contract of {customer}: version {version}")
    for member in body["members"]:
        mark = ", leaving" if member["leaving"] else ""
        click.echo(
            f"  member {member['instance']} in {member['zone']}"
            f" at {member['http_address']}{mark}"
        )


@click.command()
@click.argument("subject")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@_client.add_client_options
def explain(subject: str, as_json: bool, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Show the decisions about a task, job or request, oldest first.

    SUBJECT is the id of a job or task, as `job status` prints it, or of a
    request, from the Basiljunction-Request-Id header of its answer.
    """
    body = _client.call_json_or_exit(
        _client.create_client_or_exit(**options),
        _http_client.ApiRequest("GET", f"/v1/explain/{parse.quote(subject)}"),
    )
    if as_json:
        _client.echo_json(body)
        return
    for line in body["lines"]:
        when = dt.datetime.fromtimestamp(line["wall_s"], dt.UTC)
        click.echo(
            f"{when.isoformat(timespec='milliseconds')} {line['instance']}:"
            f" {line['decision']}: {line['detail']}"
        )
