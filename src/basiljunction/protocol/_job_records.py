"""Codec of the records that the job scheduler keeps in the store.

Each record is JSON under a key whose first letter names its kind. Field names
in records never change meaning; a record of a later version is skipped. Records
of jobs leave out fields with their default, so these defaults never change.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import math
from typing import Any

import pydantic
import pydantic_core

from basiljunction.protocol import _errors
from basiljunction.protocol import _progress_document
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _leadership
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _provision
from basiljunction.state.workload import _records

RECORD_VERSION = 2
"""Version of the format of records; others are not decoded."""

_JOB_KEY = "j."
"""Prefix of the keys of accepted jobs, before the job's id."""
_PROGRESS_KEY = "p."
"""Prefix of the keys of job progress, before the job's id."""
_PART_PREFIX = "q."
"""Prefix of the keys of parts of job progress, before the job's id.

The number of parts and that of the part follow, each after a dot.
"""
MAX_PART_COUNT = 131_072
"""Most parts of a job's progress, a power of two; above the most tasks of a
job, so that each may have a part of its own."""
_ROSTER_KEY = "roster"
"""Key of the list of known executors."""
_ROSTER_PREFIX = "roster."
"""Prefix of the keys of parts of that list, before the number of the part."""
_SILENT_KEY = "silent"
"""Key of the bounds of runs on executors that do not answer."""
_LEARNED_KEY = "learned"
"""Key under which earlier versions store the learned headroom of all images.

Headroom is the tail latency target divided by the tail latency.
"""
_LEARNED_PREFIX = "learned."
"""Prefix of the keys of learned headroom, before the hash of the image.

They follow the key of earlier versions, so that their records count.
"""
_LEARNED_HASH_BYTES = 16
"""Length of the hash of a serving image in keys, in bytes; names of images may
be longer than a key."""

_accepted_job_adapter = pydantic.TypeAdapter(_progress.AcceptedJob)
"""Converts accepted jobs to and from JSON."""
_roster_adapter = pydantic.TypeAdapter(tuple[_executor.ListedExecutor, ...])
"""Converts the list of known executors to and from JSON."""
_UNSTORED_ROSTER_FIELDS = {"drain_left_s"}
"""Fields of a listed executor that only hold when they are reported."""
_learned_adapter = pydantic.TypeAdapter(dict[str, _records.LearnedHeadroom])
"""Converts the learned headroom by serving image to and from JSON."""
_silent_adapter = pydantic.TypeAdapter(_records.SilentExecutorsRecord)
"""Converts the bounds of runs on silent executors to and from JSON."""
_term_adapter = pydantic.TypeAdapter(_leadership.Term)
"""Converts leadership terms to and from JSON."""
_request_adapter = pydantic.TypeAdapter(_leadership.TermRequest)

_provision_adapter = pydantic.TypeAdapter(_provision.Provision)
"""Converts the provision of instances to and from JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record in the form in which the store keeps it.

    Attributes:
        key: Key of the record; the store keeps the newest record of each key.
        value: Encoded content; empty deletes the key.
        offset: Where it stands in its topic; None if that is not known.
    """

    key: str
    value: bytes
    offset: int | None = None


def encode_record(record: _records.Record) -> tuple[KeyedRecord, ...]:
    """Encodes a record for the store.

    Returns:
        One item for a record of a job, of progress or of executors; one for
        each image of learned headroom; for a removed job, two items that
        delete its job and its progress.
    """
    if isinstance(record, _records.JobRecord):
        value = _wrap_with_version(
            _accepted_job_adapter.dump_python(
                record.job, mode="json", exclude_defaults=True
            )
        )
        return (KeyedRecord(_JOB_KEY + record.job.id, value),)
    if isinstance(
        record, _records.ProgressRecord | _records.ProgressPartRecord
    ):
        value = _wrap_with_version(
            _progress_document.encode_progress(record.progress)
        )
        return (KeyedRecord(_progress_key(record), value),)
    if isinstance(
        record,
        _records.ExecutorRosterRecord | _records.ExecutorRosterPartRecord,
    ):
        return (_encode_roster(record),)
    if isinstance(record, _records.LearnedHeadroomRecord):
        return _encode_learned(record)
    if isinstance(record, _records.SilentExecutorsRecord):
        value = _wrap_with_version(
            _silent_adapter.dump_python(record, mode="json")
        )
        return (KeyedRecord(_SILENT_KEY, value),)
    return (
        KeyedRecord(_JOB_KEY + record.job_id, b""),
        KeyedRecord(_PROGRESS_KEY + record.job_id, b""),
    )


def decode_record(record: KeyedRecord) -> _records.Record:
    """Decodes a record from the store.

    Raises:
        DecodeError: The record is malformed or truncated, has a later version,
            or is of an unknown kind.
    """
    try:
        document = _unwrap_versioned(record.value)
        if record.key.startswith(_JOB_KEY):
            return _records.JobRecord(
                _accepted_job_adapter.validate_python(document)
            )
        if record.key.startswith((_PROGRESS_KEY, _PART_PREFIX)):
            return _decode_progress(record.key, document)
        if record.key == _ROSTER_KEY or record.key.startswith(_ROSTER_PREFIX):
            return _decode_roster(record.key, document)
        if record.key == _LEARNED_KEY or record.key.startswith(_LEARNED_PREFIX):
            return _records.LearnedHeadroomRecord(
                _learned_adapter.validate_python(document)
            )
        if record.key == _SILENT_KEY:
            return _silent_adapter.validate_python(document)
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        OverflowError,
    ) as error:
        what = f"record {record.key}"
        raise _errors.DecodeError(what, str(error)) from error
    raise _errors.DecodeError(
        f"record {record.key}", "the kind of its key is unknown"
    )


def encode_job(job: _progress.AcceptedJob) -> bytes:
    """Encodes an accepted job for sending it to another instance."""
    return _accepted_job_adapter.dump_json(job)


def decode_job(data: bytes) -> _progress.AcceptedJob:
    """Decodes an accepted job sent by another instance.

    Raises:
        DecodeError: The bytes are not a job.
    """
    try:
        return _accepted_job_adapter.validate_json(data)
    except ValueError as error:
        raise _errors.DecodeError("job", str(error)) from error


def encode_term(term: _leadership.Term) -> bytes:
    """Encodes a leader's term for the store."""
    return _term_adapter.dump_json(term)


def decode_term(data: bytes) -> _leadership.Term:
    """Decodes a leader's term from the store.

    Raises:
        DecodeError: The bytes are not a term.
    """
    try:
        return _term_adapter.validate_json(data)
    except ValueError as error:
        raise _errors.DecodeError("term", str(error)) from error


def encode_request(request: _leadership.TermRequest) -> bytes:
    """Encodes the request of a term for the store."""
    return _request_adapter.dump_json(request)


def decode_request(data: bytes) -> _leadership.TermRequest:
    """Decodes the request of a term from the store.

    Raises:
        DecodeError: The bytes are not a request.
    """
    try:
        return _request_adapter.validate_json(data)
    except ValueError as error:
        raise _errors.DecodeError("request", str(error)) from error


def encode_provision(provision: _provision.Provision) -> bytes:
    """Encodes the provision of an instance for the store."""
    return _provision_adapter.dump_json(provision)


def decode_provision(data: bytes) -> _provision.Provision:
    """Decodes the provision of an instance from the store.

    Raises:
        DecodeError: The bytes are not a provision, or a value in it is not
            positive and finite.
    """
    try:
        provision = _provision_adapter.validate_json(data)
    except ValueError as error:
        raise _errors.DecodeError("provision", str(error)) from error
    for value in (provision.link_mbps, provision.cpu_cores):
        if value is not None and not 0 < value < math.inf:
            raise _errors.DecodeError("provision", f"{value} is out of range")
    return provision


def part_key(job_id: str, part_count: int, part: int) -> str:
    """Returns the key of a part of a job's progress."""
    return f"{_PART_PREFIX}{job_id}.{part_count}.{part}"


def encode_progress_head(
    record: _records.ProgressRecord, part_count: int, parts: Iterable[int]
) -> KeyedRecord:
    """Encodes progress without the rows that stand in its parts.

    Earlier versions read it as progress whose executors are not known.
    """
    progress = record.progress
    document = _progress_document.encode_progress(
        _progress.JobProgress(
            state=progress.state, finished_wall_s=progress.finished_wall_s
        )
    )
    document["division"] = {
        "count": part_count,
        "parts": sorted(parts),
        "has_executors": progress.executor_by_position is not None,
    }
    return KeyedRecord(
        _PROGRESS_KEY + record.job_id, _wrap_with_version(document)
    )


def _check_part_count(part_count: int) -> int:
    """Returns a number of parts of progress, if there may be as many.

    Raises:
        ValueError: No scheduler divides progress like that.
    """
    if not 2 <= part_count <= MAX_PART_COUNT or part_count.bit_count() != 1:
        raise ValueError(f"{part_count} parts")
    return part_count


def roster_part_key(part: int) -> str:
    """Returns the key of a part of the list of known executors."""
    return f"{_ROSTER_PREFIX}{part}"


def _encode_roster(
    record: _records.ExecutorRosterRecord | _records.ExecutorRosterPartRecord,
) -> KeyedRecord:
    """Encodes the list of known executors, the parts of it, or a part."""
    key = _ROSTER_KEY
    if isinstance(record, _records.ExecutorRosterPartRecord):
        key = roster_part_key(record.part)
    elif record.parts:
        return KeyedRecord(key, _wrap_with_version({"parts": record.parts}))
    document = _roster_adapter.dump_python(
        record.executors,
        mode="json",
        exclude={"__all__": _UNSTORED_ROSTER_FIELDS},
    )
    return KeyedRecord(key, _wrap_with_version(document))


def _decode_roster(
    key: str,
    document: Any,  # noqa: ANN401 - any JSON value
) -> _records.ExecutorRosterRecord | _records.ExecutorRosterPartRecord:
    """Decodes the list of known executors, the parts of it, or a part."""
    if key == _ROSTER_KEY and isinstance(document, dict):
        parts = tuple(int(each) for each in document["parts"])
        return _records.ExecutorRosterRecord((), parts)
    executors = _roster_adapter.validate_python(document)
    if key == _ROSTER_KEY:
        return _records.ExecutorRosterRecord(executors)
    return _records.ExecutorRosterPartRecord(
        int(key.removeprefix(_ROSTER_PREFIX)), executors
    )


def _progress_key(
    record: _records.ProgressRecord | _records.ProgressPartRecord,
) -> str:
    """Returns the key of progress or of a part of it."""
    if isinstance(record, _records.ProgressPartRecord):
        return part_key(record.job_id, record.part_count, record.part)
    return _PROGRESS_KEY + record.job_id


def _decode_progress(
    key: str, document: dict[str, Any]
) -> _records.ProgressRecord | _records.ProgressPartRecord:
    """Decodes progress, whole or without its parts, or a part of it."""
    progress = _progress_document.decode_progress(document)
    if key.startswith(_PART_PREFIX):
        _, job_id, part_count, part = key.split(".")
        return _records.ProgressPartRecord(
            job_id, _check_part_count(int(part_count)), int(part), progress
        )
    job_id = key.removeprefix(_PROGRESS_KEY)
    division = document.get("division")
    if division is None:
        return _records.ProgressRecord(job_id, progress)
    if division["has_executors"]:
        progress.executor_by_position = {}
    return _records.ProgressRecord(
        job_id,
        progress,
        _check_part_count(int(division["count"])),
        tuple(int(each) for each in division["parts"]),
    )


def _encode_learned(
    record: _records.LearnedHeadroomRecord,
) -> tuple[KeyedRecord, ...]:
    """Encodes learned headroom, with a record for each serving image."""
    return (
        *(
            KeyedRecord(
                _learned_key(image),
                _wrap_with_version(
                    _learned_adapter.dump_python({image: learned}, mode="json")
                ),
            )
            for image, learned in record.headroom_by_image.items()
        ),
        *(
            KeyedRecord(_learned_key(image), b"")
            for image in record.forgotten_images
        ),
    )


def _learned_key(image: str) -> str:
    """Returns the key of the learned headroom of a serving image."""
    digest = hashlib.blake2b(image.encode(), digest_size=_LEARNED_HASH_BYTES)
    return _LEARNED_PREFIX + digest.hexdigest()


def _wrap_with_version(document: Any) -> bytes:  # noqa: ANN401 - any JSON value
    """Encodes a document as JSON together with the record version."""
    return pydantic_core.to_json({"v": RECORD_VERSION, "d": document})


def _unwrap_versioned(value: bytes) -> Any:  # noqa: ANN401 - any JSON value
    """Returns the document that ``_wrap_with_version`` encoded.

    Raises:
        ValueError: The bytes are not JSON, or the version is another one.
    """
    wrapper = pydantic_core.from_json(value)
    version = wrapper["v"]
    if version != RECORD_VERSION:
        raise ValueError(f"version {version}, expected {RECORD_VERSION}")
    return wrapper["d"]
