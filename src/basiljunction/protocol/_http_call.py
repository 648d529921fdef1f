"""Value classes for outgoing HTTP calls and their replies."""

import dataclasses
from typing import Any

import pydantic_core


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """An outgoing HTTP call.

    Attributes:
        method: HTTP method.
        url: Full URL.
        body: Body; None for none.
        headers: Headers besides the usual ones.
        timeout_s: Longest time for the whole call, in seconds.
        silence_limit_s: Longest time without a byte of the reply, in seconds;
            None if only the whole call is limited. It suits replies whose
            size is not known, which take the longer the narrower a link is.
        operation: Name of the operation in metrics.
        needs_new_connection: Whether no open connection may be used.
        is_repeatable: Whether the client may send the call a second time by
            itself, though the server may have received the first one.
    """

    method: str
    url: str
    body: bytes | None = None
    headers: tuple[str, ...] = ()
    timeout_s: float = 1.0
    silence_limit_s: float | None = None
    operation: str = "other"
    needs_new_connection: bool = False
    is_repeatable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """The reply to an HTTP call, or the reason why none arrived.

    Attributes:
        status: HTTP status; 0 if no complete reply arrived.
        body: Body of the reply.
        error_text: Error text for logs; empty if a reply arrived.
        may_have_been_sent: Whether the call may have reached the server.
        lacked_connection: Whether it was not sent because none of the
            connections that it may use was free.
    """

    status: int
    body: bytes = b""
    error_text: str = ""
    may_have_been_sent: bool = True
    lacked_connection: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the status is a success (2xx)."""
        return 200 <= self.status < 300

    @property
    def has_complete_reply(self) -> bool:
        """Whether a complete reply arrived."""
        return self.status != 0

    def parse_json_object(self) -> dict[str, Any]:
        """Returns the body as a JSON object; empty if it is not one."""
        try:
            value = pydantic_core.from_json(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}
