"""Message framing between instances: a 4-byte length, then the message."""

import struct

_LENGTH_PREFIX = struct.Struct("!I")
"""Length of a message in bytes, sent before it as 32-bit big-endian."""

MAX_FRAME_BYTES = 64 * 1024 * 1024
"""Longest message accepted; a longer frame closes the connection."""


class FrameTooLongError(ValueError):
    """Raised when a frame is longer than ``MAX_FRAME_BYTES``."""


def encode_frame(payload: bytes) -> bytes:
    """Returns an encoded message with its length prefix."""
    return _LENGTH_PREFIX.pack(len(payload)) + payload


class FrameReader:
    """Splits a received byte stream into messages; buffers partial frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the messages that are now complete.

        Raises:
            FrameTooLongError: The length prefix exceeds the limit.
        """
        self._buffer += data
        payloads = []
        while len(self._buffer) >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                raise FrameTooLongError(f"frame of {length} bytes is too long")
            end = _LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                break
            payloads.append(bytes(self._buffer[_LENGTH_PREFIX.size : end]))
            del self._buffer[:end]
        return payloads
