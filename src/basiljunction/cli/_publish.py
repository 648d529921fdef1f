"""Publishes contracts with retries and waits until they are in force."""

from concurrent import futures
import dataclasses
import json
import time

import tenacity

from basiljunction.protocol import _api_models
from basiljunction.protocol import _contract_document
from basiljunction.protocol import _problem
from basiljunction.transport import _http_client

INITIAL_BACKOFF_S = 0.2
"""Upper limit of the random wait before the first retry, in seconds."""

MAX_BACKOFF_S = 5.0
"""Upper limit of the random wait before any retry, in seconds."""

POLL_INTERVAL_S = 0.05
"""Seconds between two status requests to one instance."""

MAX_CONCURRENT_POLLS = 16
"""Most instances that are polled at the same time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A contract to publish, with its base version and idempotency key.

    Attributes:
        document: The contract.
        base_version: Version that it replaces; 0 for a first version.
        publish_id: Idempotency key, the same for all retries.
    """

    document: _contract_document.ContractDocument
    base_version: int
    publish_id: str

    def build_call(self) -> _http_client.ApiRequest:
        """Returns the HTTP request that publishes it, identical for retries."""
        return _http_client.ApiRequest(
            method="PUT",
            path=f"/v1/contracts/{self.document.customer}",
            body=json.dumps(self.document.model_dump(mode="json")).encode(),
            headers={
                "Content-Type": "application/json",
                "If-Match": f'"{self.base_version}"',
                "Idempotency-Key": self.publish_id,
            },
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Result of a publication that was accepted exactly once.

    Attributes:
        answer: The accepted version and its publish id.
        entry: URL of the entry instance that answered.
    """

    answer: _api_models.PublishAnswer
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Result of a publication that is not accepted and never will be.

    Attributes:
        entry: URL of the entry instance that refused it.
        problem: Problem details of the refusal.
    """

    entry: str
    problem: _problem.ProblemDetails


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """Result of a publication whose outcome is uncertain or not yet final.

    Attributes:
        may_be_accepted: Whether any attempt may have reached the log.
        detail: Error message of the last attempt.
    """

    may_be_accepted: bool
    detail: str


PublishResult = Accepted | Refused | Undecided
"""Result of one attempt to publish a contract, or of all attempts."""


def publish_with_retries(
    api: _http_client.ApiClient, publication: Publication, *, timeout_s: float
) -> PublishResult:
    """Publishes a contract, with retries until the result is certain.

    The fold, which computes the state from the log, accepts a publish id only
    once, so a retry under the same id is safe after a lost answer. It finds an
    earlier attempt that was accepted; an attempt that arrives after a conflict
    is refused, as its base version is no longer in force.

    Args:
        api: Client of the entry instances.
        publication: The contract and its publish id.
        timeout_s: Time after which no further retry starts.

    Returns:
        The result; Undecided if the time ran out first.
    """
    may_be_accepted = False

    def attempt() -> PublishResult:
        """Publishes once and notes whether that may have been accepted."""
        nonlocal may_be_accepted
        result = _publish_once(api, publication)
        if isinstance(result, Undecided):
            may_be_accepted = may_be_accepted or result.may_be_accepted
        return result

    retrying = tenacity.Retrying(
        retry=tenacity.retry_if_result(
            lambda result: isinstance(result, Undecided)
        ),
        wait=tenacity.wait_random_exponential(INITIAL_BACKOFF_S, MAX_BACKOFF_S),
        stop=tenacity.stop_after_delay(timeout_s),
        retry_error_callback=_last_attempt_result,
    )
    return _combine_with_earlier_attempts(
        retrying(attempt), may_be_accepted=may_be_accepted
    )


def _combine_with_earlier_attempts(
    result: PublishResult, *, may_be_accepted: bool
) -> PublishResult:
    """Returns the last attempt's result, corrected for earlier attempts.

    Only a conflict means that no attempt is in force. Any other refusal
    concerns the last attempt alone, so the result stays undecided if an earlier
    attempt may have been accepted.

    Args:
        result: Result of the last attempt.
        may_be_accepted: Whether any attempt may have been accepted.
    """
    match result:
        case Undecided():
            return dataclasses.replace(result, may_be_accepted=may_be_accepted)
        case Refused() if may_be_accepted:
            if result.problem.current_version is None:
                return Undecided(True, result.problem.detail)
    return result


def _last_attempt_result(state: tenacity.RetryCallState) -> PublishResult:
    """Returns the last attempt's result when the retries run out of time."""
    if state.outcome is None:
        return Undecided(False, "no attempt was made")
    result: PublishResult = state.outcome.result()
    return result


def _publish_once(
    api: _http_client.ApiClient, publication: Publication
) -> PublishResult:
    """Makes one attempt to publish and returns its result."""
    try:
        answer = api.send_request(publication.build_call())
    except _http_client.UnreachableError as error:
        return Undecided(False, f"not reached: {error}")
    except _http_client.UnansweredError as error:
        return Undecided(True, f"no answer: {error}")
    return _classify_answer(answer)


def _classify_answer(answer: _http_client.ApiAnswer) -> PublishResult:
    """Converts an HTTP answer to the result of one attempt to publish."""
    if answer.is_success:
        accepted = _api_models.PublishAnswer.model_validate_json(answer.body)
        return Accepted(accepted, answer.base_url)
    problem = answer.problem_details
    if problem is None:
        return Undecided(
            True, f"{answer.base_url}: HTTP status {answer.status}"
        )
    if problem.outcome == "unknown":
        return Undecided(True, problem.detail)
    if problem.retry_after_s is not None:
        return Undecided(False, problem.detail)
    return Refused(answer.base_url, problem)


@dataclasses.dataclass(frozen=True, slots=True)
class InForceDelay:
    """Time that one instance took to have a contract version in force.

    Attributes:
        instance: Name of the instance.
        elapsed_s: Seconds from the start of the wait; None if the version was
            not seen there before the timeout.
    """

    instance: str
    elapsed_s: float | None


def wait_until_in_force(
    api: _http_client.ApiClient, accepted: Accepted, *, timeout_s: float
) -> tuple[InForceDelay, ...]:
    """Waits until all live instances have an accepted contract in force.

    Args:
        api: Client with the operator's credential.
        accepted: The accepted publication.
        timeout_s: Longest wait for each instance.

    Returns:
        The delay of each live instance.

    Raises:
        ClientError: The instance that accepted it did not return the list of
            live instances.
    """
    started_s = time.monotonic()
    status = _fetch_status(api.for_base_url(accepted.entry))
    live = [member for member in status.members if not member.leaving]
    if not live:
        return ()
    with futures.ThreadPoolExecutor(MAX_CONCURRENT_POLLS) as pool:
        pending_delays = [
            pool.submit(
                _poll_until_in_force,
                api,
                member,
                accepted.answer,
                started_s,
                timeout_s,
            )
            for member in live
        ]
        return tuple(wait.result() for wait in pending_delays)


def _poll_until_in_force(
    api: _http_client.ApiClient,
    member: _api_models.MemberAnswer,
    answer: _api_models.PublishAnswer,
    started_s: float,
    timeout_s: float,
) -> InForceDelay:
    """Polls one instance until it has a version in force or time runs out."""
    instance_api = api.for_base_url(f"http://{member.http_address}")
    while True:
        version = _fetch_version_in_force(instance_api, answer.customer)
        elapsed_s = time.monotonic() - started_s
        if version >= answer.version:
            return InForceDelay(member.instance, elapsed_s)
        if elapsed_s >= timeout_s:
            return InForceDelay(member.instance, None)
        time.sleep(POLL_INTERVAL_S)


def _fetch_version_in_force(
    instance_api: _http_client.ApiClient, customer: str
) -> int:
    """Returns the contract version in force at an instance, or 0 on error."""
    try:
        return _fetch_status(instance_api).version_by_customer.get(customer, 0)
    except (_http_client.ClientError, ValueError):
        return 0


def _fetch_status(
    instance_api: _http_client.ApiClient,
) -> _api_models.StatusAnswer:
    """Returns an instance's answer to GET /v1/status."""
    answer = instance_api.send_request(
        _http_client.ApiRequest("GET", "/v1/status")
    )
    return _api_models.StatusAnswer.model_validate_json(answer.body)
