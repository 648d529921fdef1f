"""Builds calls to the platform's log store and parses its answers.

The store keeps topics, split into partitions of records. In a keyed topic,
the newest record of each key is kept.
"""

import base64
import dataclasses
import json
import struct
from typing import Any
import urllib.parse

import pydantic_core

from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _job_records

CONFIGURATION_TOPIC = "keyed.op"
"""Topic of the operators' configuration."""

EXECUTOR_TOPIC = "keyed.servers"
"""Topic of the platform's list of executors, by executor id."""

CONFIGURATION_KEY = "config"
"""Key of the configuration in its topic."""

JOB_TOPIC = "keyed.jobs"
"""Topic of the scheduler's own records: jobs, progress, executors."""

TERM_TOPIC = "keyed.terms"
"""Topic of leader election: the current term and the instances."""

TERM_KEY = "term"
"""Key of the current leadership term in its topic."""

REQUEST_KEY = "request"
"""Key of the newest request to follow an offered term, in the same topic."""

MEMBER_PREFIX = "member."
"""Prefix of the keys under which instances register in the term topic."""

PROVISION_PREFIX = "provision."
"""Prefix of the keys of the instances' provision in the term topic.

It differs from `MEMBER_PREFIX`, as older builds read an address there.
"""

_PRODUCER_NAME = "scheduler"
"""Producer under which the store fences the scheduler's appends."""

_READ_HEADER = struct.Struct(">QQ")
"""Header of a read's answer: end offset and first retained offset."""

_RECORD_LENGTH = struct.Struct(">I")
"""Length in bytes that precedes each record."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFence:
    """Fencing token of an append; the store rejects those of earlier terms.

    Attributes:
        epoch: Epoch of the writer's term.
        sequence: Sequence number of this append within the term.
    """

    epoch: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Records that one read of a partition returned.

    Attributes:
        end_offset: End offset of the partition.
        next_offset: Offset at which the next read starts.
        records: The records, oldest first.
    """

    end_offset: int
    next_offset: int
    records: tuple[_job_records.KeyedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NewestRecordPage:
    """One page of the newest records by key of a partition.

    Attributes:
        end_offset: End offset of the partition.
        records: The newest record of each key on this page.
        continue_after_key: Last key of this page, after which the next page
            starts; None on the last page.
    """

    end_offset: int
    records: tuple[_job_records.KeyedRecord, ...]
    continue_after_key: str | None


def make_append_call(
    address: str,
    topic: str,
    partition: int,
    records: tuple[_job_records.KeyedRecord, ...],
    *,
    timeout_s: float,
    fence: AppendFence | None = None,
    at_offset: int | None = None,
) -> _http_call.HttpCall:
    """Builds the HTTP call that appends records, all or nothing.

    Args:
        address: ``ip:port`` of the store.
        topic: Name of the topic.
        partition: Number of the partition.
        records: The records; an empty tuple only sets the fence's epoch.
        timeout_s: Timeout of the call, in seconds.
        fence: Rejects later writes of earlier terms.
        at_offset: End offset that the partition must have, or the store
            rejects the append; None for any.
    """
    query: dict[str, str | int] = {"Topic": topic, "part": partition}
    if at_offset is not None:
        query["At"] = at_offset
    if fence is not None:
        query |= {
            "Producer": _PRODUCER_NAME,
            "epoch": fence.epoch,
            "Sequence": fence.sequence,
        }
    body = b"".join(_encode_record_frame(each) for each in records)
    return _http_call.HttpCall(
        "POST",
        _url(address, "/log-append", query),
        body,
        timeout_s=timeout_s,
        operation="store.append",
    )


def parse_end_offset(reply: _http_call.HttpReply) -> int | None:
    """Returns the end offset after an append, or None if not reported."""
    return _int_or_none(reply.parse_json_object().get("EndOffset"))


def is_fenced(reply: _http_call.HttpReply) -> bool:
    """Returns whether the store rejected an append as of an earlier term."""
    return reply.status == 409 and (
        reply.parse_json_object().get("Reason") == "fenced"
    )


def parse_expected_sequence(reply: _http_call.HttpReply) -> int | None:
    """Returns the sequence number that the next append must carry.

    None if the append was not rejected for its sequence number.
    """
    answer = reply.parse_json_object()
    if reply.status != 409 or answer.get("Reason") != "seq":
        return None
    return _int_or_none(answer.get("Sequence"))


def is_offset_mismatch(reply: _http_call.HttpReply) -> bool:
    """Returns whether an append was rejected for its expected end offset."""
    return reply.status == 412


def make_read_call(
    address: str,
    topic: str,
    partition: int,
    from_offset: int,
    *,
    wait_s: float,
    timeout_s: float,
    silence_limit_s: float | None = None,
) -> _http_call.HttpCall:
    """Builds the HTTP call that reads records from an offset.

    Args:
        address: ``ip:port`` of the store.
        topic: Name of the topic.
        partition: Number of the partition.
        from_offset: Offset of the first record.
        wait_s: How long the store waits for a record, in seconds.
        timeout_s: Timeout of the call, in seconds.
        silence_limit_s: Longest time without a byte of the answer, in
            seconds; None for no limit. It includes ``wait_s``.
    """
    query: dict[str, str | int] = {
        "Topic": topic,
        "part": partition,
        "From": from_offset,
        "WaitMs": int(wait_s * 1000),
    }
    return _http_call.HttpCall(
        "GET",
        _url(address, "/log-read", query),
        timeout_s=timeout_s,
        silence_limit_s=silence_limit_s,
        operation="store.read",
        is_repeatable=True,
    )


def parse_page(reply: _http_call.HttpReply, from_offset: int) -> RecordPage:
    """Parses the answer to a read that started at an offset.

    Raises:
        DecodeError: The answer is truncated.
    """
    body = reply.body
    if len(body) < _READ_HEADER.size:
        raise _errors.DecodeError(
            "read", f"{len(body)} bytes are too few for the offsets"
        )
    end, _first_retained = _READ_HEADER.unpack_from(body)
    position = _READ_HEADER.size
    records = []
    count = 0
    while position < len(body):
        if position + _RECORD_LENGTH.size > len(body):
            raise _errors.DecodeError("read", "truncated record length")
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        if position + length > len(body):
            raise _errors.DecodeError("read", "truncated record")
        record = _decode_keyed_record(
            body[position : position + length], from_offset + count
        )
        if record is not None:
            records.append(record)
        position += length
        count += 1
    return RecordPage(end, from_offset + count, tuple(records))


def make_newest_call(
    address: str,
    topic: str,
    partition: int,
    *,
    timeout_s: float,
    silence_limit_s: float | None = None,
    after: str | None = None,
) -> _http_call.HttpCall:
    """Builds the HTTP call that reads the newest record of each key.

    Args:
        address: ``ip:port`` of the store.
        topic: Name of the topic.
        partition: Number of the partition.
        timeout_s: Timeout of the call, in seconds.
        silence_limit_s: Longest time without a byte of the answer, in
            seconds; None for no limit.
        after: Last key of the previous page; None for the first page.
    """
    query: dict[str, str | int] = {"Topic": topic, "part": partition}
    if after is not None:
        query["After"] = after
    return _http_call.HttpCall(
        "GET",
        _url(address, "/log-newest", query),
        timeout_s=timeout_s,
        silence_limit_s=silence_limit_s,
        operation="store.read-newest",
        is_repeatable=True,
    )


def parse_newest_page(reply: _http_call.HttpReply) -> NewestRecordPage:
    """Parses a page of the newest records by key.

    Records whose key is not Unicode text are left out, as in `parse_page`.

    Raises:
        DecodeError: The answer is malformed.
    """
    answer = _parse_lenient_json(reply.body)
    items = answer.get("items")
    end = _int_or_none(answer.get("EndOffset"))
    if not isinstance(items, list) or end is None:
        raise _errors.DecodeError("newest records", "no items or no end offset")
    records = []
    for item in items:
        try:
            key, text = item["Key"], item["Value"]
            value = base64.b64decode(text, validate=True)
            offset = _int_or_none(item.get("Offset"))
        except (KeyError, TypeError, ValueError) as error:
            raise _errors.DecodeError("newest record", str(error)) from error
        if isinstance(key, str) and _is_unicode(key):
            records.append(_job_records.KeyedRecord(key, value, offset))
    more = bool(answer.get("HasMore"))
    if more and not records:
        raise _errors.DecodeError("newest records", "no key to continue after")
    return NewestRecordPage(
        end, tuple(records), records[-1].key if more else None
    )


def _parse_lenient_json(body: bytes) -> dict[str, Any]:
    """Returns a JSON object, of which strings may not be Unicode text.

    The usual parser refuses all of an object with such a string.

    Raises:
        DecodeError: The body is not a JSON object.
    """
    try:
        try:
            value = pydantic_core.from_json(body)
        except ValueError:
            value = json.loads(body.decode(errors="surrogateescape"))
    except (ValueError, RecursionError) as error:
        raise _errors.DecodeError("newest records", repr(error)) from error
    if not isinstance(value, dict):
        raise _errors.DecodeError("newest records", "not a JSON object")
    return value


def _is_unicode(text: str) -> bool:
    """Returns whether a text has no half of a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def record_bytes(record: _job_records.KeyedRecord) -> int:
    """Returns the size of a record, of which the store limits the largest."""
    return len(_encode_record(record))


def _encode_record(record: _job_records.KeyedRecord) -> bytes:
    """Encodes a record: key length, key and value."""
    key = record.key.encode()
    return bytes((len(key),)) + key + record.value


def _encode_record_frame(record: _job_records.KeyedRecord) -> bytes:
    """Encodes a record for an append: length and record."""
    content = _encode_record(record)
    return _RECORD_LENGTH.pack(len(content)) + content


def _decode_keyed_record(
    content: bytes, offset: int
) -> _job_records.KeyedRecord | None:
    """Decodes a record of a keyed topic; None if it is malformed."""
    if not content or 1 + content[0] > len(content):
        return None
    split = 1 + content[0]
    try:
        key = content[1:split].decode()
    except UnicodeDecodeError:
        return None
    return _job_records.KeyedRecord(key, content[split:], offset)


def _url(address: str, path: str, query: dict[str, str | int]) -> str:
    """Returns the URL of a call to the store."""
    return f"http://{address}{path}?{urllib.parse.urlencode(query)}"


def _int_or_none(value: object) -> int | None:
    """Returns a JSON value if it is an integer, and None otherwise."""
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value
