"""Decodes records of terms, which other writers may have left as well."""

from basiljunction.protocol import _errors
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _leadership

_LOGGED_DIGITS = 20
"""Number of digits of an epoch that are logged, as other writers may leave
thousands; that of a term has fewer."""


def decode_term(data: bytes, max_epoch: int) -> _leadership.Term:
    """Decodes a term from the store.

    Args:
        data: The record.
        max_epoch: Highest epoch that a term can have there.

    Raises:
        DecodeError: The bytes are not a term, or its epoch is out of range.
    """
    term = _job_records.decode_term(data)
    if not 0 < term.epoch <= max_epoch:
        digits = str(term.epoch)
        raise _errors.DecodeError(
            "term",
            f"epoch {digits[:_LOGGED_DIGITS]} ({len(digits)} digits) is not "
            f"from 1 to {max_epoch}",
        )
    return term
