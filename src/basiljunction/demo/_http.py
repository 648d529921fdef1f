"""HTTP client of the demo's callers and of the demo itself, on pycurl."""

import dataclasses
import io
import json
import threading
from typing import Any

import pycurl

HTTP_OK = 200
"""Lowest HTTP status of a successful answer."""

FIRST_REDIRECT_STATUS = 300
"""Lowest HTTP status above those of successful answers."""

CONNECT_TIMEOUT_S = 1.0
"""Longest time to connect, in seconds."""

_thread_local = threading.local()
"""Holds one reusable curl handle per thread."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Result of an HTTP call, with or without an answer.

    Attributes:
        status: HTTP status, or 0 if the call failed.
        body: The part of the body that was received.
        may_have_been_sent: Whether the server may have received the request;
            false only if the connection could not be made.
        error: Why the call failed, or empty.
    """

    status: int
    body: bytes
    may_have_been_sent: bool
    error: str

    @property
    def is_success(self) -> bool:
        """Whether a complete answer with a 2xx status was received."""
        return not self.error and HTTP_OK <= self.status < FIRST_REDIRECT_STATUS

    def json(self) -> dict[str, Any]:
        """Returns the JSON object in the body, or an empty dictionary."""
        try:
            decoded = json.loads(self.body)
        except ValueError:
            return {}
        return decoded if isinstance(decoded, dict) else {}


def call(
    url: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """Makes one HTTP call on a connection of its own.

    On a reused connection that the server closes meanwhile, libcurl would
    send the request again without reporting it.

    Args:
        url: URL to call.
        method: HTTP method.
        body: Request body, or None.
        headers: Additional headers.
        timeout_s: Longest time for the whole call.
    """
    handle = _curl_handle()
    received = io.BytesIO()
    lines = [f"{name}: {value}" for name, value in (headers or {}).items()]
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    handle.setopt(pycurl.HTTPHEADER, [*lines, "Expect:"])
    handle.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
    handle.setopt(pycurl.WRITEFUNCTION, received.write)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.FRESH_CONNECT, 1)
    handle.setopt(pycurl.FORBID_REUSE, 1)
    if body is not None:
        handle.setopt(pycurl.POSTFIELDS, body)
    try:
        handle.perform()
    except pycurl.error as error:
        code = int(error.args[0])
        text = handle.errstr()
        sent = code != pycurl.E_COULDNT_CONNECT
        return HttpAnswer(0, received.getvalue(), sent, text)
    status = handle.getinfo(pycurl.RESPONSE_CODE)
    return HttpAnswer(status, received.getvalue(), True, "")


def call_json(
    url: str,
    *,
    method: str = "GET",
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """Makes one HTTP call with a JSON body."""
    return call(
        url,
        method=method,
        body=None if body is None else json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **(headers or {})},
        timeout_s=timeout_s,
    )


def _curl_handle() -> pycurl.Curl:
    """Returns this thread's curl handle with all options reset."""
    handle = getattr(_thread_local, "handle", None)
    if handle is None:
        handle = pycurl.Curl()
        _thread_local.handle = handle
    handle.reset()
    return handle
