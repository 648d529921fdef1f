"""A client of the HTTP API that tries several instances in turn."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import http
import io

import pycurl
import pydantic

from basiljunction.protocol import _problem

DEFAULT_TIMEOUT_S = 30.0
"""Longest time of one request to one instance, in seconds."""

CONNECT_TIMEOUT_S = 2.0
"""Longest time to connect to an instance, in seconds."""

MAX_ANSWER_BYTES = 64 << 20
"""Largest response body that is accepted."""

_NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)
"""Errors of libcurl after which the request was certainly not sent."""

_PROTOCOLS = pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS
"""URL schemes that libcurl may use, as a bit mask."""

_TRY_ANOTHER_REASONS = frozenset({"leaving", "not-ready"})
"""Refusal reasons after which the next instance is tried."""


class ClientError(RuntimeError):
    """Raised when no instance answered a call.

    Attributes:
        fault_by_base_url: Error message for each base URL that was tried.
    """

    def __init__(self, fault_by_base_url: Mapping[str, str]) -> None:
        """Builds the message from the errors at each base URL.

        Args:
            fault_by_base_url: Error message for each base URL that was tried.
        """
        faults = (f"{entry}: {why}" for entry, why in fault_by_base_url.items())
        super().__init__("; ".join(faults) or "no base URL was given")
        self.fault_by_base_url = dict(fault_by_base_url)


class UnreachableError(ClientError):
    """Raised when the request was certainly not sent to any instance."""


class UnansweredError(ClientError):
    """Raised when the request may have taken effect at an instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApiRequest:
    """One request to the HTTP API.

    Attributes:
        method: HTTP method.
        path: URL path and query, without the base URL.
        body: Request body; None if there is none.
        headers: Header fields besides the credential.
        is_repeatable: Whether the request may safely be sent more than once.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    is_repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ApiAnswer:
    """A response of the HTTP API.

    Attributes:
        base_url: Base URL of the instance that answered.
        status: HTTP status.
        headers: Header values by lower-case name.
        body: Response body.
    """

    base_url: str
    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the HTTP status is below 400."""
        return self.status < http.HTTPStatus.BAD_REQUEST

    @property
    def problem_details(self) -> _problem.ProblemDetails | None:
        """The RFC 9457 problem details in the body; None if there are none."""
        media_type = self.headers.get("content-type", "")
        if not media_type.startswith(_problem.MEDIA_TYPE):
            return None
        try:
            return _problem.ProblemDetails.model_validate_json(self.body)
        except pydantic.ValidationError:
            return None


class ApiClient:
    """HTTP API client that tries base URLs in order until one answers.

    Args:
        base_urls: Base URLs of instances, in the order to try.
        token: Bearer token; None to send no credential.
        timeout_s: Longest time of one request to one instance, in seconds.
    """

    def __init__(
        self,
        base_urls: Iterable[str],
        *,
        token: str | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self.base_urls = tuple(entry.rstrip("/") for entry in base_urls)
        self._token = token
        self._timeout_s = timeout_s

    def for_base_url(self, base_url: str) -> "ApiClient":
        """Returns a client for one base URL with the same token and timeout."""
        return ApiClient(
            [base_url], token=self._token, timeout_s=self._timeout_s
        )

    def send_request(self, call: ApiRequest) -> ApiAnswer:
        """Sends a request to the instances in turn and returns the answer.

        The next instance is tried if a request was certainly not sent, if it
        may be repeated, or if the instance refused it because it is leaving
        or not ready. Its refusal does not settle a request that may have taken
        effect at an instance before it.

        Raises:
            UnreachableError: The request was certainly not sent.
            UnansweredError: The request may have taken effect.
        """
        fault_by_base_url: dict[str, str] = {}
        may_have_run = False
        last: ApiAnswer | None = None
        for base_url in self.base_urls:
            try:
                last = self._call_one(base_url, call)
            except pycurl.error as error:
                fault_by_base_url[base_url] = str(error.args[-1])
                if error.args[0] in _NOT_SENT_ERRORS:
                    continue
                may_have_run = True
                if not call.is_repeatable:
                    break
                continue
            if may_have_run and _refuses_change(call, last):
                fault_by_base_url[base_url] = _describe_refusal(last)
                continue
            if not _asks_to_try_another(last):
                return last
        if last is not None and not may_have_run:
            return last
        if may_have_run:
            raise UnansweredError(fault_by_base_url)
        raise UnreachableError(fault_by_base_url)

    def _call_one(self, base_url: str, call: ApiRequest) -> ApiAnswer:
        """Sends a request to one base URL; raises ``pycurl.error``."""
        handle = pycurl.Curl()
        body = io.BytesIO()
        headers: dict[str, str] = {}
        try:
            self._configure_handle(handle, base_url, call)
            handle.setopt(pycurl.WRITEFUNCTION, body.write)
            handle.setopt(
                pycurl.HEADERFUNCTION, lambda line: _add_header(headers, line)
            )
            handle.perform()
            status = int(handle.getinfo(pycurl.RESPONSE_CODE))
        finally:
            handle.close()
        return ApiAnswer(base_url, status, headers, body.getvalue())

    def _configure_handle(
        self, handle: pycurl.Curl, base_url: str, call: ApiRequest
    ) -> None:
        """Sets a handle's URL, method, timeouts, headers and body."""
        handle.setopt(pycurl.URL, f"{base_url}{call.path}")
        handle.setopt(pycurl.PROTOCOLS, _PROTOCOLS)
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TIMEOUT_MS, int(self._timeout_s * 1000))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
        handle.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
        if call.body is not None:
            handle.setopt(pycurl.POSTFIELDS, call.body)
        headers = {"Expect": "", **call.headers}
        if self._token is not None:
            headers["Authorization"] = f"Bearer {self._token}"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        handle.setopt(pycurl.HTTPHEADER, lines)


def _add_header(headers: dict[str, str], line: bytes) -> None:
    """Adds a raw header line to the headers; skips the status line."""
    name, separator, value = line.decode("iso-8859-1").partition(":")
    if separator:
        headers[name.strip().lower()] = value.strip()


def _asks_to_try_another(answer: ApiAnswer) -> bool:
    """Returns whether the instance refused because it is not serving."""
    problem = answer.problem_details
    if answer.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return (
        problem is not None
        and problem.outcome == "not-run"
        and problem.reason in _TRY_ANOTHER_REASONS
    )


def _refuses_change(call: ApiRequest, answer: ApiAnswer) -> bool:
    """Returns whether an answer says only that this sending had no effect.

    A conflict names the version in force, which takes account of all sendings.
    """
    problem = answer.problem_details
    return (
        call.method != "GET"
        and problem is not None
        and problem.outcome == "not-run"
        and problem.current_version is None
    )


def _describe_refusal(answer: ApiAnswer) -> str:
    """Returns the status and the explanation of a refusal."""
    problem = answer.problem_details
    detail = problem.detail if problem is not None else ""
    return f"HTTP status {answer.status} after an unanswered request: {detail}"
