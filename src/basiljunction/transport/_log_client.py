"""HTTP client of the platform's append-only log."""

import abc
import base64
import contextlib
import dataclasses
import io
import json
from typing import Any
import urllib.parse

import pycurl

CONNECT_TIMEOUT_S = 2.0
"""Longest time to connect to the log, in seconds."""

MAX_RETRY_AFTER_S = 5.0
"""Upper bound of a Retry-After header's value, in seconds."""


class LogCallError(ConnectionError):
    """Raised when a log call fails; an append may have taken effect.

    Attributes:
        detail: Error message.
        retry_after_s: Wait that the log asks for, in seconds; 0 if none.
    """

    def __init__(self, detail: str, retry_after_s: float = 0.0) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = retry_after_s


class LogTruncatedError(LookupError):
    """Raised when the log no longer holds the requested offset.

    Attributes:
        first_offset: Oldest offset that the log holds.
        head_offset: Offset that the next appended entry will get.
    """

    def __init__(self, first_offset: int, head_offset: int) -> None:
        super().__init__(
            f"the log was truncated; its first offset is {first_offset}"
        )
        self.first_offset = first_offset
        self.head_offset = head_offset


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """The entries that one read of the log returned.

    Attributes:
        head_offset: Offset that the next appended entry will get.
        first_offset: Offset of the first payload.
        payloads: Entry payloads in offset order, without gaps.
    """

    head_offset: int
    first_offset: int
    payloads: tuple[bytes, ...]


class _RetryAfterParser:
    """Extracts the Retry-After value, in seconds, from response headers."""

    def __init__(self) -> None:
        self.retry_after_s = 0.0

    def parse_header_line(self, line: bytes) -> None:
        """Parses one header line; others than Retry-After are ignored."""
        name, _, value = line.decode("latin-1").partition(":")
        if name.strip().lower() == "retry-after":
            with contextlib.suppress(ValueError):
                self.retry_after_s = min(float(value), MAX_RETRY_AFTER_S)


class Log(abc.ABC):
    """Interface to append to and read from the platform's log."""

    @abc.abstractmethod
    def append(self, payload: bytes) -> int:
        """Appends one entry and returns its offset.

        Raises:
            LogCallError: The append may or may not have taken effect.
        """

    @abc.abstractmethod
    def read(self, from_offset: int, *, limit: int, wait_s: float) -> LogPage:
        """Reads entries from an offset; long-polls if there are none.

        Args:
            from_offset: Offset of the first entry to read.
            limit: Highest number of entries to return.
            wait_s: Longest wait for a first entry, in seconds.

        Raises:
            LogCallError: The log is unavailable or timed out.
            LogTruncatedError: The log no longer holds that offset.
        """


class LogClient(Log):
    """HTTP client of the log on one connection; not thread-safe.

    Args:
        url: Base URL of the log.
        timeout_s: Longest time of a call, in seconds, in addition to the
            requested wait.
    """

    def __init__(self, url: str, *, timeout_s: float = 10.0) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._handle = pycurl.Curl()

    def append(self, payload: bytes) -> int:
        """Appends one entry and returns its offset.

        Raises:
            LogCallError: The append may or may not have taken effect.
        """
        self._configure_handle(f"{self._url}/append", self._timeout_s)
        self._handle.setopt(pycurl.POST, 1)
        self._handle.setopt(pycurl.POSTFIELDS, payload)
        self._handle.setopt(
            pycurl.HTTPHEADER,
            ["Content-Type: application/octet-stream", "Expect:"],
        )
        status, body, retry_after_s = self._perform()
        if status != 200:
            raise LogCallError(
                f"append failed with status {status}", retry_after_s
            )
        return int(_parse_json_object(body)["offset"])

    def read(self, from_offset: int, *, limit: int, wait_s: float) -> LogPage:
        """Reads entries from an offset; long-polls if there are none.

        Args:
            from_offset: Offset of the first entry to read.
            limit: Highest number of entries to return.
            wait_s: Longest wait for a first entry, in seconds.

        Raises:
            LogCallError: The log is unavailable or timed out.
            LogTruncatedError: The log no longer holds that offset.
        """
        query = urllib.parse.urlencode(
            {
                "from": from_offset,
                "limit": limit,
                "wait_ms": int(wait_s * 1000),
            }
        )
        url = f"{self._url}/read?{query}"
        self._configure_handle(url, self._timeout_s + wait_s)
        self._handle.setopt(pycurl.HTTPGET, 1)
        status, body, retry_after_s = self._perform()
        if status == 410:
            gone = _parse_json_object(body)
            raise LogTruncatedError(int(gone["first"]), int(gone["head"]))
        if status != 200:
            raise LogCallError(
                f"read failed with status {status}", retry_after_s
            )
        return _parse_page(_parse_json_object(body), from_offset)

    def close(self) -> None:
        """Closes the connection."""
        self._handle.close()

    def _configure_handle(self, url: str, timeout_s: float) -> None:
        self._handle.reset()
        self._handle.setopt(pycurl.URL, url)
        self._handle.setopt(pycurl.NOSIGNAL, 1)
        self._handle.setopt(
            pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000)
        )
        self._handle.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        self._handle.setopt(pycurl.PROXY, "")

    def _perform(self) -> tuple[int, bytes, float]:
        """Performs a call; returns status, body and Retry-After seconds."""
        body = io.BytesIO()
        self._handle.setopt(pycurl.WRITEDATA, body)
        headers = _RetryAfterParser()
        self._handle.setopt(pycurl.HEADERFUNCTION, headers.parse_header_line)
        try:
            self._handle.perform()
        except pycurl.error as error:
            raise LogCallError(str(error.args[-1])) from error
        status = int(self._handle.getinfo(pycurl.RESPONSE_CODE))
        return status, body.getvalue(), headers.retry_after_s


def _parse_json_object(body: bytes) -> dict[str, Any]:
    try:
        answer = json.loads(body)
    except ValueError as error:
        raise LogCallError("the log's answer is not JSON") from error
    if not isinstance(answer, dict):
        raise LogCallError("the log's answer is not a JSON object")
    return answer


def _parse_page(answer: dict[str, Any], from_offset: int) -> LogPage:
    try:
        entries = answer["entries"]
        payloads = tuple(base64.b64decode(each["data"]) for each in entries)
        offsets = [int(each["offset"]) for each in entries]
        head = int(answer["head"])
    except (KeyError, TypeError, ValueError) as error:
        raise LogCallError("the log's answer is malformed") from error
    first = offsets[0] if offsets else from_offset
    if offsets != list(range(first, first + len(offsets))):
        raise LogCallError("the log's answer has gaps between offsets")
    return LogPage(head, first, payloads)
