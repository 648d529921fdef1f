"""The ``contract`` commands, which check, publish and show contracts."""

import pathlib
from typing import Any
from typing import NoReturn
import uuid

import click

from basiljunction.cli import _client
from basiljunction.cli import _exit_codes
from basiljunction.cli import _publish
from basiljunction.protocol import _api_views
from basiljunction.protocol import _contract_document
from basiljunction.protocol import _diff
from basiljunction.protocol import _jsonc
from basiljunction.transport import _http_client

FILE_PATH_TYPE = click.Path(path_type=pathlib.Path)
"""Click type of a contract file argument, passed as a `pathlib.Path`."""

DEFAULT_PUBLISH_TIMEOUT_S = 30.0
"""Default of --timeout-s, in seconds."""

_ExitCode = _exit_codes.ExitCode
"""Shorthand for the program's exit codes."""


def _load_document_or_exit(
    path: pathlib.Path,
) -> _contract_document.ContractDocument:
    """Returns the contract in a file; exits with INVALID if malformed."""
    try:
        text = _jsonc.read_text_file(path)
        return _contract_document.load_contract_document(text, source=str(path))
    except _jsonc.DocumentError as error:
        _client.exit_with_error(_ExitCode.INVALID, str(error))


@click.group()
def contract() -> None:
    """Publish, amend and show customers' contracts.

    A contract file is JSON with comments. Every limit is derived from it:
    which work may run, when, how much capacity it may use, and how quickly it
    is answered.
    """


@contract.command()
@click.argument("file", type=FILE_PATH_TYPE)
@click.option("--limits", is_flag=True, help="Print each limit it leads to.")
def check(file: pathlib.Path, limits: bool) -> None:
    """Check the contract in FILE without publishing it.

    Exits with 0 if the file is valid and with 3 if it is not.
    """
    document = _load_document_or_exit(file)
    click.echo(f"{file}: contract of {document.customer} is valid")
    if limits:
        wanted = _contract_document.to_contract(document, version=1)
        _echo_limits(
            [limit.model_dump() for limit in _api_views.limit_answers(wanted)]
        )


def _add_publish_options(command: Any) -> Any:  # noqa: ANN401 - click's decorators are untyped
    """Adds the options of `publish` and `amend` to a click command."""
    for option in (
        click.option(
            "--publish-id",
            help="Id of an earlier attempt whose answer was lost.",
        ),
        click.option(
            "--timeout-s",
            default=DEFAULT_PUBLISH_TIMEOUT_S,
            show_default=True,
            help="Seconds to publish with retries, and again to wait.",
        ),
        click.option(
            "--wait",
            is_flag=True,
            help="Return when all live instances have it in force, and print"
            " how long each took.",
        ),
    ):
        command = option(command)
    return _client.add_client_options(command)


@contract.command()
@click.argument("file", type=FILE_PATH_TYPE)
@_add_publish_options
def publish(file: pathlib.Path, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Publish FILE as the first version of a customer's contract.

    The command retries if an answer is lost. It exits with 0 if the contract
    was accepted once, 5 if another operator's version was accepted first, 4 if
    it was refused, and 6 if that is still unknown.
    """
    _publish_or_exit(_load_document_or_exit(file), 0, **options)


@contract.command()
@click.argument("file", type=FILE_PATH_TYPE)
@click.option(
    "--base",
    "base_version",
    type=click.IntRange(min=1),
    required=True,
    help="Version that FILE is based on, as `contract show` prints it.",
)
@_add_publish_options
def amend(file: pathlib.Path, base_version: int, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Publish FILE as the version after the one it is based on.

    If another operator's version was accepted first, nothing of FILE is in
    force: the command prints that version and the differences, and exits with
    5.
    """
    _publish_or_exit(_load_document_or_exit(file), base_version, **options)


def _publish_or_exit(
    document: _contract_document.ContractDocument,
    base_version: int,
    *,
    wait: bool,
    timeout_s: float,
    publish_id: str | None,
    **options: Any,  # noqa: ANN401 - click's options
) -> None:
    """Publishes a contract and prints the result; exits unless accepted.

    Args:
        document: The contract to publish.
        base_version: Version that it replaces; 0 for a first version.
        wait: Whether to wait until all live instances have it in force.
        timeout_s: Time to publish with retries, and again to wait.
        publish_id: Id of an earlier attempt to repeat; None for a new one.
        **options: Values of the shared API options.
    """
    options["call_timeout_s"] = min(options["call_timeout_s"], timeout_s)
    api = _client.create_client_or_exit(**options)
    publication = _publish.Publication(
        document, base_version, publish_id or uuid.uuid4().hex
    )
    result = _publish.publish_with_retries(
        api, publication, timeout_s=timeout_s
    )
    match result:
        case _publish.Refused():
            _client.exit_with_error(
                _client.exit_code_for_problem(result.problem),
                "not accepted: "
                + _client.format_problem(result.entry, result.problem),
            )
        case _publish.Undecided():
            _exit_undecided(result, publication)
    answer = result.answer
    again = " by an earlier try" if answer.repeated else ""
    click.echo(
        f"accepted once{again}: {answer.customer} version {answer.version}"
        f" (publish id {answer.publish_id})"
    )
    if wait:
        _wait_or_exit(api, result, timeout_s)


def _exit_undecided(
    result: _publish.Undecided, publication: _publish.Publication
) -> NoReturn:
    """Exits with REFUSED if nothing was sent and with UNKNOWN otherwise."""
    if not result.may_be_accepted:
        _client.exit_with_error(
            _ExitCode.REFUSED,
            f"not accepted, nothing was sent: {result.detail}",
        )
    _client.exit_with_error(
        _ExitCode.UNKNOWN,
        f"unknown: {result.detail}\n  to find out, repeat the command with"
        f" --publish-id {publication.publish_id}",
    )


def _wait_or_exit(
    api: _http_client.ApiClient, accepted: _publish.Accepted, timeout_s: float
) -> None:
    """Prints how long each live instance took to have a version in force.

    Exits with FAILED if one does not have it in force after `timeout_s`.
    """
    try:
        delays = _publish.wait_until_in_force(
            api, accepted, timeout_s=timeout_s
        )
    except (_http_client.ClientError, ValueError) as error:
        _client.exit_with_error(
            _ExitCode.FAILED, f"accepted, but cannot check instances: {error}"
        )
    for each in delays:
        if each.elapsed_s is None:
            click.echo(f"  {each.instance}: not seen in {timeout_s:g} s")
        else:
            click.echo(f"  {each.instance}: {each.elapsed_s:.3f} s")
    missing = [each for each in delays if each.elapsed_s is None]
    if missing:
        _client.exit_with_error(
            _ExitCode.FAILED,
            f"accepted, but not seen in force at {len(missing)} instances",
        )


@contract.command()
@click.argument("customer")
@click.option("--limits", is_flag=True, help="Print each limit it leads to.")
@_client.add_client_options
def show(customer: str, limits: bool, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Show CUSTOMER's contract in force, as a file that can be amended."""
    include = "limits" if limits else ""
    body = _fetch_contract_or_exit(customer, include, options)
    click.echo(f"// version {body['version']} by {body['operator']}")
    if limits:
        _echo_limits(body["limits"])
    else:
        _client.echo_json(body["document"])


@contract.command()
@click.argument("customer")
@_client.add_client_options
def history(customer: str, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Show the versions of CUSTOMER's contract and what each changed."""
    body = _fetch_contract_or_exit(customer, "history", options)
    before: dict[str, Any] | None = None
    for each in body["history"]:
        click.echo(f"version {each['version']}")
        if before is not None:
            _echo_changes(before, each["document"])
        before = each["document"]


@contract.command()
@click.argument("file", type=FILE_PATH_TYPE)
@_client.add_client_options
def diff(file: pathlib.Path, **options: Any) -> None:  # noqa: ANN401 - click's options
    """Show what FILE would change in the contract in force."""
    document = _load_document_or_exit(file)
    body = _fetch_contract_or_exit(document.customer, "", options)
    click.echo(f"from version {body['version']} to {file}")
    _echo_changes(body["document"], document.model_dump(mode="json"))


def _fetch_contract_or_exit(
    customer: str, include: str, options: dict[str, Any]
) -> dict[str, Any]:
    """Returns the API's answer about a customer's contract; exits on error.

    Args:
        customer: Name of the customer.
        include: Optional parts to request: "limits", "history" or "".
        options: Values of the shared API options.
    """
    path = f"/v1/contracts/{customer}?include={include}"
    return _client.call_json_or_exit(
        _client.create_client_or_exit(**options),
        _http_client.ApiRequest("GET", path),
    )


def _echo_changes(before: dict[str, Any], after: dict[str, Any]) -> None:
    """Prints the differences between two contract documents, one per line."""
    changes = _diff.diff_documents(before, after)
    for change in changes:
        click.echo(f"  {change}")
    if not changes:
        click.echo("  no change")


def _echo_limits(limits: list[dict[str, Any]]) -> None:
    """Prints limits, one per line, each with its class, value and source."""
    for limit in limits:
        scope = limit["class_name"] or "all classes"
        value = limit["value"]
        shown = f"{value:.10g}" if isinstance(value, float) else str(value)
        click.echo(
            f"{scope:24} {limit['name']:18} {shown:>12} {limit['unit']:22}"
            f" from {limit['derivation']}"
        )
