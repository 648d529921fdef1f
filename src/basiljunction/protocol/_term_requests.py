"""Codec of the requests of a term that its scheduler offers."""

import pydantic

from basiljunction.protocol import _errors
from basiljunction.state.workload import _leadership

_adapter = pydantic.TypeAdapter(_leadership.TermRequest)
"""Converts requests to and from JSON."""


def encode_request(request: _leadership.TermRequest) -> bytes:
    """Encodes the request of a term for the store."""
    return _adapter.dump_json(request)


def decode_request(data: bytes) -> _leadership.TermRequest:
    """Decodes the request of a term from the store.

    Raises:
        DecodeError: The bytes are not a request.
    """
    try:
        return _adapter.validate_json(data)
    except ValueError as error:
        raise _errors.DecodeError("request", str(error)) from error
