"""Guards libcurl's repeated sending of a request on a new connection."""

import pycurl


class SendGuard:
    """Refuses to send a request a second time unless it may be repeated.

    libcurl sends a request again, on a new connection, if a reused one is lost
    before a byte of the response. The server may have received the first
    request, so that the answer to the second says nothing of it.

    Args:
        is_repeatable: Whether the request may be sent more than once.

    Attributes:
        may_have_sent: Whether the request was sent on a connection.
        was_second_refused: Whether a second sending was refused.
    """

    def __init__(self, *, is_repeatable: bool) -> None:
        self.may_have_sent = False
        self.was_second_refused = False
        self._is_repeatable = is_repeatable

    def watch(self, handle: pycurl.Curl) -> None:
        """Makes a handle ask before it sends; `reset` ends that."""
        handle.setopt(pycurl.PREREQFUNCTION, self._check_before_sending)

    def _check_before_sending(self, *_addresses: object) -> int:
        """Allows or refuses one sending of the request."""
        if self.may_have_sent and not self._is_repeatable:
            self.was_second_refused = True
            return int(pycurl.PREREQFUNC_ABORT)
        self.may_have_sent = True
        return int(pycurl.PREREQFUNC_OK)
