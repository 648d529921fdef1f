"""Codec of the whole folded state, for snapshots and for new peers."""

import zlib

import pydantic

from basiljunction.protocol import _errors
from basiljunction.state import _system

_system_state_adapter = pydantic.TypeAdapter(_system.SystemState)

_COMPRESSION_LEVEL = 1
"""zlib level; the smaller size of higher levels is not worth their time."""


def encode_state(state: _system.SystemState) -> bytes:
    """Encodes the state as compressed JSON; equal states give equal bytes."""
    return zlib.compress(
        _system_state_adapter.dump_json(state), _COMPRESSION_LEVEL
    )


def decode_state(payload: bytes) -> _system.SystemState:
    """Decodes a state from the bytes that ``encode`` returned.

    Raises:
        DecodeError: The bytes are damaged or of another version.
    """
    try:
        return _system_state_adapter.validate_json(zlib.decompress(payload))
    except (zlib.error, pydantic.ValidationError) as error:
        raise _errors.DecodeError("snapshot", str(error)[:200]) from error
