"""Errors of the protocol layer."""


class DecodeError(ValueError):
    """Raised if a message or record cannot be decoded.

    Attributes:
        what: Kind of message or record.
        detail: Why it cannot be decoded.
    """

    def __init__(self, what: str, detail: str) -> None:
        """Creates the error.

        Args:
            what: Kind of message or record.
            detail: Why it cannot be decoded.
        """
        super().__init__(f"cannot decode {what}: {detail}")
        self.what = what
        self.detail = detail
