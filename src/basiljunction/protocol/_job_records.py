"""Codec of the records that the job scheduler keeps in the store.

Each record is JSON under a key whose first letter names its kind. Field names
in records never change meaning; a record of a later version is skipped.
"""

import dataclasses
from typing import Any

import pydantic
import pydantic_core

from basiljunction.protocol import _errors
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _leadership
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records

VERSION = 2

_JOB_KEY = "j."
_PROGRESS_KEY = "p."
_ROSTER_KEY = "roster"
_LEARNED_KEY = "learned"

_accepted_job = pydantic.TypeAdapter(_progress.AcceptedJob)
_roster = pydantic.TypeAdapter(tuple[_executor.ExecutorEntry, ...])
_learned = pydantic.TypeAdapter(dict[str, _records.LearnedImage])
_term = pydantic.TypeAdapter(_leadership.Term)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record as the store keeps it.

    Attributes:
        key: Key; the newest record of each is kept.
        value: Content; empty drops the key.
    """

    key: str
    value: bytes


def encode(record: _records.Record) -> tuple[KeyedRecord, ...]:
    """Returns a record as the store keeps it."""
    if isinstance(record, _records.JobRecord):
        value = _wrapped(_accepted_job.dump_python(record.job, mode="json"))
        return (KeyedRecord(_JOB_KEY + record.job.id, value),)
    if isinstance(record, _records.ProgressRecord):
        value = _wrapped(_progress_document(record.progress))
        return (KeyedRecord(_PROGRESS_KEY + record.job_id, value),)
    if isinstance(record, _records.RosterRecord):
        value = _wrapped(_roster.dump_python(record.entries, mode="json"))
        return (KeyedRecord(_ROSTER_KEY, value),)
    if isinstance(record, _records.LearnedRecord):
        value = _wrapped(_learned.dump_python(record.by_image, mode="json"))
        return (KeyedRecord(_LEARNED_KEY, value),)
    return (
        KeyedRecord(_JOB_KEY + record.job_id, b""),
        KeyedRecord(_PROGRESS_KEY + record.job_id, b""),
    )


def decode(record: KeyedRecord) -> _records.Record:
    """Returns the record under a key.

    Raises:
        DecodeError: It is torn, of a later version, or of an unknown kind.
    """
    try:
        document = _unwrapped(record.value)
        if record.key.startswith(_JOB_KEY):
            return _records.JobRecord(_accepted_job.validate_python(document))
        if record.key.startswith(_PROGRESS_KEY):
            job_id = record.key.removeprefix(_PROGRESS_KEY)
            return _records.ProgressRecord(job_id, _progress_of(document))
        if record.key == _ROSTER_KEY:
            return _records.RosterRecord(_roster.validate_python(document))
        if record.key == _LEARNED_KEY:
            return _records.LearnedRecord(_learned.validate_python(document))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        what = f"record {record.key}"
        raise _errors.DecodeError(what, str(error)) from error
    raise _errors.DecodeError(f"record {record.key}", "an unknown kind")


def encode_job(job: _progress.AcceptedJob) -> bytes:
    """Returns a job as instances send it to each other."""
    return _accepted_job.dump_json(job)


def decode_job(data: bytes) -> _progress.AcceptedJob:
    """Returns the job in some bytes.

    Raises:
        DecodeError: The bytes hold no job.
    """
    try:
        return _accepted_job.validate_json(data)
    except ValueError as error:
        raise _errors.DecodeError("job", str(error)) from error


def encode_term(term: _leadership.Term) -> bytes:
    """Returns a term as the store keeps it."""
    return _term.dump_json(term)


def decode_term(data: bytes) -> _leadership.Term:
    """Returns the term in some bytes.

    Raises:
        DecodeError: The bytes hold no term.
    """
    try:
        return _term.validate_json(data)
    except ValueError as error:
        raise _errors.DecodeError("term", str(error)) from error


def _wrapped(document: Any) -> bytes:  # noqa: ANN401 - any JSON value
    return pydantic_core.to_json({"v": VERSION, "d": document})


def _unwrapped(value: bytes) -> Any:  # noqa: ANN401 - any JSON value
    wrapper = pydantic_core.from_json(value)
    version = wrapper["v"]
    if version != VERSION:
        raise ValueError(f"version {version}, expected {VERSION}")
    return wrapper["d"]


def _progress_document(progress: _progress.Progress) -> dict[str, Any]:
    return {
        "state": progress.state.value,
        "finished": progress.finished_wall_s,
        "done": sorted(progress.done),
        "failed_runs": [
            (*place, *sorted(runs))
            for place, runs in progress.failed_runs_by_place.items()
        ],
        "checkpoints": [
            (*place, text)
            for place, text in progress.checkpoint_by_place.items()
        ],
    }


def _progress_of(document: dict[str, Any]) -> _progress.Progress:
    return _progress.Progress(
        state=_progress.JobState(document["state"]),
        finished_wall_s=float(document["finished"]),
        done={_place(row) for row in document["done"]},
        failed_runs_by_place={
            _place(row[:3]): {int(each) for each in row[3:]}
            for row in document["failed_runs"]
        },
        checkpoint_by_place={
            _place(row[:3]): str(row[3]) for row in document["checkpoints"]
        },
    )


def _place(row: list[int]) -> _progress.Place:
    occurrence, step, index = (int(each) for each in row)
    return (occurrence, step, index)
