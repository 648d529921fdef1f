"""Cap'n Proto codec of log records and messages between peers.

Maps the frozen dataclasses of records and messages to the structs of
``messages.capnp`` and back, by the names of their fields.
"""

from collections.abc import Callable
import dataclasses
import functools
import typing
from typing import Any
import zlib

import capnp
import pydantic

from basiljunction.coordination import _messages
from basiljunction.protocol import _errors
from basiljunction.protocol import _schema
from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _outcomes
from basiljunction.state import _records

_NO_RETRY_AFTER_S = -1.0
"""Wire value of ``retry_after_s`` that stands for None."""

_JSON_ENCODED_CLASSES = (_contract.Contract, _job.Job)
"""Classes whose values are sent as one JSON text."""

_COMPRESSION_LEVEL = 1
"""zlib level of log entries: 1 is the fastest."""

_MAX_INFLATED_ENTRY_BYTES = 64 * 1024 * 1024
"""Largest decompressed log entry; a larger one is not decoded."""

_TRAVERSAL_LIMIT_WORDS = 64 * 1024 * 1024
"""Limit of Cap'n Proto on the words of 8 bytes read from one message."""


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldMapping:
    """How one dataclass field is converted to and from its wire form.

    Attributes:
        name: Name of the dataclass field.
        wire_name: Name of the field of the struct.
        encode: Converts the value to its wire form.
        decode: Converts the wire form to the value.
    """

    name: str
    wire_name: str
    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _StructMapping:
    """How one dataclass is converted to and from a union member.

    Attributes:
        value_class: The dataclass.
        wire_name: Name of its member in the union of the schema.
        field_mappings: Conversions of its fields, in the order of the class.
    """

    value_class: type
    wire_name: str
    field_mappings: tuple[_FieldMapping, ...]


def _identity(value: Any) -> Any:  # noqa: ANN401 - any scalar of the schema
    """Returns the value unchanged: scalars need no conversion."""
    return value


def _to_camel_case(name: str) -> str:
    """Converts a ``snake_case`` name to ``camelCase``."""
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


@functools.cache
def _type_adapter(kind: type) -> pydantic.TypeAdapter[Any]:
    """Returns the cached JSON adapter of a class."""
    return pydantic.TypeAdapter(kind)


def _map_json_field(name: str, kind: type) -> _FieldMapping:
    """Maps a field whose value is sent as one JSON text."""
    adapter = _type_adapter(kind)
    return _FieldMapping(
        name,
        _to_camel_case(name),
        lambda value: adapter.dump_json(value).decode(),
        adapter.validate_json,
    )


def _map_field(name: str, annotation: Any) -> _FieldMapping:  # noqa: ANN401
    """Chooses the conversion of a field by its annotated type."""
    if annotation in _JSON_ENCODED_CLASSES:
        return _map_json_field(name, annotation)
    if annotation == _outcomes.Outcome:
        return _FieldMapping(
            name, _to_camel_case(name), _outcome_to_wire, _outcome_from_wire
        )
    if typing.get_origin(annotation) is tuple:
        return _FieldMapping(name, _to_camel_case(name), list, tuple)
    return _FieldMapping(name, _to_camel_case(name), _identity, _identity)


def _map_struct(kind: type) -> _StructMapping:
    """Builds the mapping of a dataclass to its struct."""
    hints = typing.get_type_hints(kind)
    fields = tuple(
        _map_field(field.name, hints[field.name])
        for field in dataclasses.fields(kind)
    )
    return _StructMapping(
        value_class=kind,
        wire_name=kind.__name__[0].lower() + kind.__name__[1:],
        field_mappings=fields,
    )


def _outcome_to_wire(outcome: _outcomes.Outcome) -> dict[str, Any]:
    """Converts the outcome of a request to its union in the schema."""
    match outcome:
        case _outcomes.Completed():
            body = {
                "status": outcome.status,
                "body": outcome.body,
                "contentType": outcome.content_type,
                "peer": outcome.peer,
            }
            return {"completed": body}
        case _outcomes.NotRun():
            wait_s = outcome.retry_after_s
            refusal = _failure_to_wire(outcome)
            refusal["retryAfterS"] = (
                _NO_RETRY_AFTER_S if wait_s is None else wait_s
            )
            return {"notRun": refusal}
        case _outcomes.Unknown():
            return {"unknown": _failure_to_wire(outcome)}


def _failure_to_wire(
    outcome: _outcomes.NotRun | _outcomes.Unknown,
) -> dict[str, Any]:
    """Converts the fields that failed outcomes have in common."""
    return {
        "step": str(outcome.step),
        "peer": outcome.peer,
        "reason": str(outcome.reason),
        "detail": outcome.detail,
    }


def _outcome_from_wire(wire: Any) -> _outcomes.Outcome:  # noqa: ANN401
    """Converts the union of the schema to the outcome of a request."""
    which = wire.which()
    if which == "completed":
        done = wire.completed
        return _outcomes.Completed(
            done.status, done.body, done.contentType, done.peer
        )
    part = wire.notRun if which == "notRun" else wire.unknown
    step = _outcomes.Step(part.step)
    reason = _outcomes.Reason(part.reason)
    if which == "unknown":
        return _outcomes.Unknown(step, part.peer, reason, part.detail)
    wait_s = None if part.retryAfterS < 0 else part.retryAfterS
    return _outcomes.NotRun(step, part.peer, reason, wait_s, part.detail)


_mapping_by_record_class = {
    kind: _map_struct(kind) for kind in typing.get_args(_records.Record)
}
_mapping_by_message_class = {
    kind: _map_struct(kind) for kind in typing.get_args(_messages.PeerMessage)
}
_record_mapping_by_wire_name = {
    plan.wire_name: plan for plan in _mapping_by_record_class.values()
}
_message_mapping_by_wire_name = {
    plan.wire_name: plan for plan in _mapping_by_message_class.values()
}


def _to_wire(value: Any, mapping: _StructMapping) -> dict[str, Any]:  # noqa: ANN401
    """Converts a record or message to a dict that fills its union."""
    body = {
        field.wire_name: field.encode(getattr(value, field.name))
        for field in mapping.field_mappings
    }
    return {mapping.wire_name: body}


def _from_wire(wire: Any, mapping_by_name: dict[str, _StructMapping]) -> Any:  # noqa: ANN401
    """Converts a union to the record or message that it holds.

    Raises:
        KeyError: The schema has a member that no class is mapped to.
    """
    mapping = mapping_by_name[wire.which()]
    body = getattr(wire, mapping.wire_name)
    return mapping.value_class(
        *[
            field.decode(getattr(body, field.wire_name))
            for field in mapping.field_mappings
        ]
    )


def encode_batch(batch: _records.RecordBatch) -> bytes:
    """Encodes a batch of records as the bytes of one log entry."""
    records = [
        _to_wire(record, _mapping_by_record_class[type(record)])
        for record in batch.records
    ]
    message = _schema.message_schema.Batch.new_message(
        authorName=batch.author.name,
        authorIncarnation=batch.author.incarnation,
        firstSequence=batch.first_sequence,
        wallS=batch.wall_s,
        records=records,
    )
    return zlib.compress(message.to_bytes_packed(), _COMPRESSION_LEVEL)


def _inflate(payload: bytes) -> bytes:
    """Decompresses a log entry.

    Raises:
        ValueError: The bytes are truncated, too long, or have a trailer.
        zlib.error: The bytes are not compressed data.
    """
    inflater = zlib.decompressobj()
    packed = inflater.decompress(payload, _MAX_INFLATED_ENTRY_BYTES)
    if not inflater.eof or inflater.unused_data:
        raise ValueError("expected exactly one complete zlib stream")
    return packed


def decode_batch(payload: bytes) -> _records.RecordBatch:
    """Decodes the bytes of one log entry to a batch of records.

    A record that cannot be decoded becomes ``Undecodable``: every instance
    rejects it in the same way and continues with the next one.

    Raises:
        DecodeError: The entry as a whole is not a batch.
    """
    try:
        wire = _schema.message_schema.Batch.from_bytes_packed(
            _inflate(payload), traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        )
        return _records.RecordBatch(
            author=_records.Author(wire.authorName, wire.authorIncarnation),
            first_sequence=wire.firstSequence,
            wall_s=wire.wallS,
            records=tuple(_decode_record(record) for record in wire.records),
        )
    except (capnp.KjException, zlib.error, ValueError, KeyError) as error:
        raise _errors.DecodeError("log entry", str(error)) from error


def _decode_record(wire: Any) -> _records.Record:  # noqa: ANN401
    """Decodes a record; returns ``Undecodable`` if that fails."""
    try:
        record: _records.Record = _from_wire(wire, _record_mapping_by_wire_name)
    except (capnp.KjException, ValueError, KeyError) as error:
        return _records.Undecodable(detail=str(error)[:200])
    return record


def make_undecodable_batch(detail: str) -> _records.RecordBatch:
    """Returns the substitute for a log entry that is not a batch.

    It holds one ``Undecodable`` record, so that every instance rejects the
    entry in the same way.
    """
    return _records.RecordBatch(
        author=_records.Author("", 0),
        first_sequence=0,
        wall_s=0.0,
        records=(_records.Undecodable(detail=detail[:200]),),
    )


def encode_message(message: _messages.PeerMessage) -> bytes:
    """Encodes a message to a peer, without the length frame around it."""
    mapping = _mapping_by_message_class[type(message)]
    wire = _schema.message_schema.PeerMessage.new_message(
        **_to_wire(message, mapping)
    )
    payload: bytes = wire.to_bytes_packed()
    return payload


def decode_message(payload: bytes) -> _messages.PeerMessage:
    """Decodes a message from a peer.

    Raises:
        DecodeError: The bytes are not a message of the schema.
    """
    try:
        wire = _schema.message_schema.PeerMessage.from_bytes_packed(
            payload, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        )
        message: _messages.PeerMessage = _from_wire(
            wire, _message_mapping_by_wire_name
        )
    except (capnp.KjException, ValueError, KeyError) as error:
        raise _errors.DecodeError("peer message", str(error)) from error
    return message
