"""HTTP calls that an instance makes, as values."""

import dataclasses
from typing import Any

import pydantic_core


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """One call.

    Attributes:
        method: HTTP method.
        url: Whole URL.
        body: Body; None for none.
        headers: Headers besides the usual ones.
        timeout_s: Longest time for the whole call, in seconds.
        operation: What the call does, as metrics name it.
    """

    method: str
    url: str
    body: bytes | None = None
    headers: tuple[str, ...] = ()
    timeout_s: float = 1.0
    operation: str = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """What came of a call.

    Attributes:
        status: HTTP status; 0 if no whole answer came.
        body: Body of the answer.
        fault: What went wrong, for people; empty if an answer came.
        was_sent: Whether the call may have reached the other side.
    """

    status: int
    body: bytes = b""
    fault: str = ""
    was_sent: bool = True

    @property
    def ok(self) -> bool:
        """Whether the call succeeded."""
        return 200 <= self.status < 300

    @property
    def is_answered(self) -> bool:
        """Whether a whole answer came."""
        return self.status != 0

    def json_object(self) -> dict[str, Any]:
        """Returns the body as a JSON object; an empty one if it is none."""
        try:
            value = pydantic_core.from_json(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}
