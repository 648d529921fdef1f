"""Measures how fast log entries are decoded and folded, and their size.

The baseline encodes the same records as JSON, which pydantic decodes.
"""

from collections.abc import Callable
import json
import time
import typing
from typing import Any
import zlib

import pydantic

from basiljunction.bench import _report
from basiljunction.bench import _workload
from basiljunction.protocol import _codec
from basiljunction.state import _fold
from basiljunction.state import _records
from basiljunction.state import _system

_JOB_COUNT = 300
"""Number of jobs submitted."""

_TASKS_PER_JOB = 20
"""Number of tasks of each job."""

_WORKER_COUNT = 100
"""Number of workers that the tasks run on."""

_adapter_by_name: dict[str, pydantic.TypeAdapter[Any]] = {
    kind.__name__: pydantic.TypeAdapter(kind)
    for kind in typing.get_args(_records.Record)
}
"""Pydantic adapter of each record class, by class name."""


def _encode_batch_as_json(batch: _records.RecordBatch) -> bytes:
    """Returns a record batch as compact JSON."""
    records = [
        [
            type(record).__name__,
            _adapter_by_name[type(record).__name__].dump_python(
                record, mode="json"
            ),
        ]
        for record in batch.records
    ]
    author = [batch.author.name, batch.author.incarnation]
    body = [author, batch.first_sequence, batch.wall_s, records]
    return json.dumps(body, separators=(",", ":")).encode()


def _decode_batch_from_json(payload: bytes) -> _records.RecordBatch:
    """Returns the record batch that ``_encode_batch_as_json`` encoded."""
    author, first_sequence, wall_s, records = json.loads(payload)
    return _records.RecordBatch(
        _records.Author(*author),
        first_sequence,
        wall_s,
        tuple(
            _adapter_by_name[name].validate_python(body)
            for name, body in records
        ),
    )


def _measure_decode_and_fold(
    payloads: list[bytes], decode: Callable[[bytes], _records.RecordBatch]
) -> tuple[float, float]:
    """Returns processor seconds for decoding and for folding all entries."""
    began_s = time.thread_time()
    batches = [decode(payload) for payload in payloads]
    decoded_s = time.thread_time()
    state = _system.SystemState()
    for offset, batch in enumerate(batches):
        _fold.apply_entry(state, _records.LogEntry(offset, batch))
    return decoded_s - began_s, time.thread_time() - decoded_s


def run(*, runs: int, seed: int) -> _report.Report:
    """Compares the packed format of log records to JSON.

    Measures the rates of decoding and of folding, and the encoded size.
    """
    writer = _workload.LogWriter()
    _workload.append_fleet_setup(writer, workers=_WORKER_COUNT)
    first = len(writer.entries)
    _workload.append_running_jobs(
        writer,
        jobs=_JOB_COUNT,
        tasks=_TASKS_PER_JOB,
        workers=_WORKER_COUNT,
        seed=seed,
    )
    _workload.append_in_batches(
        writer,
        (
            _records.TaskCompleted(claim.task_id, 1, 240.0)
            for claim in _workload.generate_claims(
                0, _JOB_COUNT, _TASKS_PER_JOB, workers=_WORKER_COUNT, seed=seed
            )
        ),
    )
    records = sum(len(entry.batch.records) for entry in writer.entries)
    rows: list[_report.Row] = []
    formats: tuple[
        tuple[str, list[bytes], Callable[[bytes], _records.RecordBatch], bool],
        ...,
    ] = (
        (
            "packed, deflated",
            writer.payloads,
            _codec.decode_batch,
            False,
        ),
        (
            "json",
            [_encode_batch_as_json(entry.batch) for entry in writer.entries],
            _decode_batch_from_json,
            True,
        ),
    )
    times_by_case: dict[str, list[tuple[float, float]]] = {}
    for _ in range(runs):
        for case, payloads, decode, _baseline in formats:
            times = times_by_case.setdefault(case, [])
            times.append(_measure_decode_and_fold(payloads, decode))
    for case, payloads, _decode, baseline in formats:
        times = times_by_case[case]
        rows += _rate_rows(case, records, times, baseline=baseline)
        chosen = payloads[first + _JOB_COUNT :]
        rows.append(
            _size_row(
                case, chosen, writer.entries[first + _JOB_COUNT :], baseline
            )
        )
    rows.append(_deflated_json_size_row(writer, first))
    return _report.Report("fold", seed, tuple(rows))


def _rate_rows(
    case: str,
    records: int,
    times: list[tuple[float, float]],
    *,
    baseline: bool,
) -> list[_report.Row]:
    """Returns rows of the records decoded and folded per second.

    Args:
        case: Name of the format.
        records: Number of records.
        times: Processor seconds for decoding and for folding, for each run.
        baseline: Whether the format is the baseline.
    """
    seconds_by_metric = {
        "records decoded and folded": [sum(pair) for pair in times],
        "records decoded": [pair[0] for pair in times],
        "records folded": [pair[1] for pair in times],
    }
    return [
        _report.Row(
            case,
            metric,
            "1/s",
            tuple(records / each for each in seconds),
            baseline,
        )
        for metric, seconds in seconds_by_metric.items()
    ]


def _size_row(
    case: str,
    payloads: list[bytes],
    entries: list[_records.LogEntry],
    baseline: bool,
) -> _report.Row:
    """Returns the mean encoded size of a task record, in bytes."""
    records = sum(len(entry.batch.records) for entry in entries)
    size = sum(len(payload) for payload in payloads) / records
    return _report.Row(case, "size of a task record", "B", (size,), baseline)


def _deflated_json_size_row(
    writer: _workload.LogWriter, first: int
) -> _report.Row:
    """Returns the size row of JSON entries compressed with zlib.

    Args:
        writer: Writer of the entries.
        first: Index of the first job's entry. Only entries after those of
            the jobs count: they hold the task records.
    """
    entries = writer.entries[first + _JOB_COUNT :]
    payloads = [
        zlib.compress(_encode_batch_as_json(entry.batch), 1)
        for entry in entries
    ]
    return _size_row("json, deflated", payloads, entries, True)
