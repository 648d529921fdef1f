"""Calls to the platform's store and what their answers hold."""

import base64
import binascii
import dataclasses
import struct
import urllib.parse

from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _job_records

CONFIGURATION_TOPIC = "keyed.op"
EXECUTOR_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"
JOB_TOPIC = "keyed.jobs"
TERM_TOPIC = "keyed.terms"
TERM_KEY = "term"
MEMBER_PREFIX = "member."

_WRITER = "scheduler"

_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """What bars the writes of an earlier scheduler.

    Attributes:
        epoch: Epoch of the writer's term.
        sequence: Number of this append within the term.
    """

    epoch: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records of one read.

    Attributes:
        end_offset: Where the topic ends.
        next_offset: Where the next read begins.
        records: The records, oldest first.
    """

    end_offset: int
    next_offset: int
    records: tuple[_job_records.KeyedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NewestPage:
    """The newest record of each key, in part.

    Attributes:
        end_offset: Where the topic ends.
        records: The records.
        next_key: Where the next page begins; None if there is none.
    """

    end_offset: int
    records: tuple[_job_records.KeyedRecord, ...]
    next_key: str | None


def append(
    address: str,
    topic: str,
    part: int,
    records: tuple[_job_records.KeyedRecord, ...],
    *,
    timeout_s: float,
    fence: Fence | None = None,
    at_offset: int | None = None,
) -> _http_call.HttpCall:
    """Returns the call that appends records, all or nothing.

    Args:
        address: The store.
        topic: The topic.
        part: Its partition.
        records: The records; none only sets the fence's epoch.
        timeout_s: Longest time for the call.
        fence: Bars writes of earlier terms.
        at_offset: Writes only if the partition ends here.
    """
    query: dict[str, str | int] = {"Topic": topic, "part": part}
    if at_offset is not None:
        query["At"] = at_offset
    if fence is not None:
        query |= {
            "Producer": _WRITER,
            "epoch": fence.epoch,
            "Sequence": fence.sequence,
        }
    body = b"".join(_framed(each) for each in records)
    return _http_call.HttpCall(
        "POST",
        _url(address, "/log-append", query),
        body,
        timeout_s=timeout_s,
        operation="store.append",
    )


def appended_end(reply: _http_call.HttpReply) -> int | None:
    """Returns where the topic ends after an append, or None if not told."""
    return _whole(reply.json_object().get("EndOffset"))


def is_fenced(reply: _http_call.HttpReply) -> bool:
    """Returns whether a later term has written."""
    return reply.status == 409 and (
        reply.json_object().get("Reason") == "fenced"
    )


def expected_sequence(reply: _http_call.HttpReply) -> int | None:
    """Returns the number that an append of this term has to carry.

    None if the append was not refused for its number.
    """
    answer = reply.json_object()
    if reply.status != 409 or answer.get("Reason") != "seq":
        return None
    return _whole(answer.get("Sequence"))


def is_condition_failed(reply: _http_call.HttpReply) -> bool:
    """Returns whether the topic ends elsewhere than the append asked for."""
    return reply.status == 412


def read(
    address: str,
    topic: str,
    part: int,
    from_offset: int,
    *,
    wait_s: float,
    timeout_s: float,
) -> _http_call.HttpCall:
    """Returns the call that reads from an offset on, waiting for a record."""
    query: dict[str, str | int] = {
        "Topic": topic,
        "part": part,
        "From": from_offset,
        "WaitMs": int(wait_s * 1000),
    }
    return _http_call.HttpCall(
        "GET",
        _url(address, "/log-read", query),
        timeout_s=timeout_s,
        operation="store.read",
    )


def page(reply: _http_call.HttpReply, from_offset: int) -> Page:
    """Returns what a read answered.

    Raises:
        DecodeError: The answer is torn.
    """
    body = reply.body
    if len(body) < _HEAD.size:
        raise _errors.DecodeError("read", "no offsets")
    end, _first_retained = _HEAD.unpack_from(body)
    position = _HEAD.size
    records = []
    count = 0
    while position < len(body):
        if position + _LENGTH.size > len(body):
            raise _errors.DecodeError("read", "a torn length")
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise _errors.DecodeError("read", "a torn record")
        record = _keyed(body[position : position + length])
        if record is not None:
            records.append(record)
        position += length
        count += 1
    return Page(end, from_offset + count, tuple(records))


def newest(
    address: str,
    topic: str,
    part: int,
    *,
    timeout_s: float,
    after: str | None = None,
) -> _http_call.HttpCall:
    """Returns the call that reads the newest record of each key."""
    query: dict[str, str | int] = {"Topic": topic, "part": part}
    if after is not None:
        query["After"] = after
    return _http_call.HttpCall(
        "GET",
        _url(address, "/log-newest", query),
        timeout_s=timeout_s,
        operation="store.read-newest",
    )


def newest_page(reply: _http_call.HttpReply) -> NewestPage:
    """Returns what the store answered.

    Raises:
        DecodeError: The answer is malformed.
    """
    answer = reply.json_object()
    items = answer.get("items")
    end = _whole(answer.get("EndOffset"))
    if not isinstance(items, list) or end is None:
        raise _errors.DecodeError("newest records", "no list")
    records = []
    for item in items:
        try:
            value = base64.b64decode(item["Value"], validate=True)
            records.append(_job_records.KeyedRecord(str(item["Key"]), value))
        except (KeyError, TypeError, binascii.Error) as error:
            raise _errors.DecodeError("newest record", str(error)) from error
    more = bool(answer.get("HasMore")) and bool(records)
    return NewestPage(end, tuple(records), records[-1].key if more else None)


def _framed(record: _job_records.KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _keyed(content: bytes) -> _job_records.KeyedRecord | None:
    """Returns a record of a keyed topic; None for bytes that are none."""
    if not content or 1 + content[0] > len(content):
        return None
    split = 1 + content[0]
    try:
        key = content[1:split].decode()
    except UnicodeDecodeError:
        return None
    return _job_records.KeyedRecord(key, content[split:])


def _url(address: str, path: str, query: dict[str, str | int]) -> str:
    return f"http://{address}{path}?{urllib.parse.urlencode(query)}"


def _whole(value: object) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value
