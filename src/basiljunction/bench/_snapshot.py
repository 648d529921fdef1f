"""Measures start-up from a snapshot, append rates, and the cost of control.

The baseline for start-up folds the whole log from its first entry. The cost of
control is what an instance spends on the log and its peers at the peak append
rate, without HTTP requests and without an urgent path.
"""

import math
import random
import statistics
import time

import psutil

from basiljunction.bench import _fleet
from basiljunction.bench import _report
from basiljunction.bench import _workload
from basiljunction.protocol import _snapshot_codec
from basiljunction.state import _fold_snapshots
from basiljunction.state import _records

_JOBS_PER_ROUND = 750
"""Number of running jobs, and of finished jobs in each round."""

_TASKS_PER_JOB = 20
"""Number of tasks in each job."""

_WORKER_COUNT = 790
"""Number of workers in the folded state."""

_FINISHED_ROUNDS = 2
"""Rounds of finished jobs in the log, and so the number of finished tasks for
each running task."""

_CHUNK_BYTES = 65_536
"""Maximum bytes of the snapshot in one chunk record."""

_TASK_STARTS_PER_S = 63
"""Task starts per second at the peak."""

_RECORDS_PER_TASK_START = 4
"""Log records appended for each task start."""

_FLEET_SIZES = (4, 8, 12, 16)
"""Numbers of instances for which the cost of control is measured."""

_MEASUREMENT_S = 6.0
"""Time for which a fleet appends at the peak rate, in seconds."""

_WAIT_TIMEOUT_S = 60.0
"""Limit on each wait for a fleet to settle or start, in seconds."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Measures start-up time, append rate and cost of control of instances.

    The cost of control is what an instance spends on the log and its peers,
    without requests.
    """
    # The fleets run first: memory that other measurements leave allocated would
    # distort their memory figures.
    rows = _measure_control_rows(seed)
    rows += _measure_append_rows(runs, seed)
    rows += _measure_start_rows(runs, seed)
    return _report.Report("snapshot", seed, tuple(rows))


def _measure_start_rows(runs: int, seed: int) -> list[_report.Row]:
    """Returns the start-up time from a snapshot and from the whole log.

    The rows also give the size of the encoded state and the time to encode it.
    """
    writer = _workload.LogWriter()
    _workload.append_fleet_setup(writer, workers=_WORKER_COUNT)
    for index in range(_FINISHED_ROUNDS * _JOBS_PER_ROUND):
        _append_finished_job(writer, index, seed)
    for index in range(
        _FINISHED_ROUNDS * _JOBS_PER_ROUND,
        (_FINISHED_ROUNDS + 1) * _JOBS_PER_ROUND,
    ):
        writer.append(
            _records.JobSubmitted(_workload.make_job(index, _TASKS_PER_JOB))
        )
        _append_claims(writer, index, seed)
    whole_log_payloads = list(writer.payloads)
    started_s = time.perf_counter()
    payload = _snapshot_codec.encode_state(writer.state)
    encode_s = time.perf_counter() - started_s
    snapshot_offset = len(writer.payloads)
    _write_snapshot(writer, payload)
    snapshot_payloads = writer.payloads[snapshot_offset:]
    rows = [
        _report.Row("snapshot", "encoded state", "B", (float(len(payload)),)),
        _report.Row("snapshot", "time to encode", "s", (encode_s,)),
    ]
    for case, first_offset, payloads, baseline in (
        ("snapshot", snapshot_offset, snapshot_payloads, False),
        ("whole log", 0, whole_log_payloads, True),
    ):
        times = tuple(
            _measure_start_s(first_offset, payloads) for _ in range(runs)
        )
        rows.append(
            _report.Row(
                case, "start to ready, 15,000 running", "s", times, baseline
            )
        )
    return rows


def _append_finished_job(
    writer: _workload.LogWriter, index: int, seed: int
) -> None:
    """Appends a job whose tasks are all claimed and completed."""
    writer.append(
        _records.JobSubmitted(_workload.make_job(index, _TASKS_PER_JOB))
    )
    claims = _append_claims(writer, index, seed)
    _workload.append_in_batches(
        writer,
        (_records.TaskCompleted(each.task_id, 1, 240.0) for each in claims),
    )


def _append_claims(
    writer: _workload.LogWriter, index: int, seed: int
) -> list[_records.TaskClaimed]:
    """Appends and returns a claim for each task of a job."""
    claims = list(
        _workload.generate_claims(
            index,
            1,
            _TASKS_PER_JOB,
            workers=_WORKER_COUNT,
            seed=seed * 100_000 + index,
        )
    )
    _workload.append_in_batches(writer, iter(claims))
    return claims


def _write_snapshot(writer: _workload.LogWriter, payload: bytes) -> None:
    """Appends a snapshot of the state as a sequence of log records.

    ``payload`` is ignored: the state is encoded again after the first record,
    which the snapshot has to include.
    """
    writer.append(_records.SnapshotBegun("s", 0))
    payload = _snapshot_codec.encode_state(writer.state)
    chunks = math.ceil(len(payload) / _CHUNK_BYTES)
    for index in range(chunks):
        part = payload[index * _CHUNK_BYTES : (index + 1) * _CHUNK_BYTES]
        writer.append(
            _records.SnapshotChunk(
                "s", index, _fold_snapshots.compute_checksum(part), part
            )
        )
    payload_checksum = _fold_snapshots.compute_checksum(payload)
    writer.append(_records.SnapshotFinished("s", chunks, payload_checksum))


def _measure_start_s(first_offset: int, payloads: list[bytes]) -> float:
    """Returns the seconds from the start of an instance until it is ready.

    Args:
        first_offset: Offset of the first entry that the log still holds.
        payloads: Encoded log entries from that offset on.
    """
    log = _fleet.MemoryLog()
    log.replace_entries(first_offset, payloads)
    fleet = _fleet.Fleet(1, seed=1, log=log)
    started_s = time.monotonic()
    fleet.start()
    try:
        instance = fleet.instances[0]
        _fleet.wait_until(
            lambda: (
                instance.urgent.view is not None and instance.urgent.view.ready
            ),
            within_s=_WAIT_TIMEOUT_S,
        )
        return time.monotonic() - started_s
    finally:
        fleet.stop()


def _measure_append_rows(runs: int, seed: int) -> list[_report.Row]:
    """Returns log appends per second at the peak, batched and unbatched.

    The unbatched rate is computed, not measured: it is the number of records
    per second.
    """
    rates = []
    for index in range(runs):
        fleet = _start_settled_fleet(8, seed + index)
        try:
            before = fleet.log.head
            records = _append_at_peak_rate(fleet, seed + index)
            rates.append((fleet.log.head - before) / _MEASUREMENT_S)
        finally:
            fleet.stop()
    unbatched_rate = records / _MEASUREMENT_S
    return [
        _report.Row(
            "batched, 8 instances",
            "appends at 63 starts/s",
            "1/s",
            tuple(rates),
        ),
        _report.Row(
            "one record an append",
            "appends at 63 starts/s",
            "1/s",
            (unbatched_rate,),
            baseline=True,
        ),
    ]


def _start_settled_fleet(size: int, seed: int) -> _fleet.Fleet:
    """Starts a fleet of instances and waits until it has settled."""
    fleet = _fleet.Fleet(size, seed=seed)
    fleet.start()
    _fleet.wait_until(
        lambda: _fleet.is_membership_complete(fleet), within_s=_WAIT_TIMEOUT_S
    )
    return fleet


def _append_at_peak_rate(fleet: _fleet.Fleet, seed: int) -> int:
    """Appends records at the peak rate and returns their number.

    Each task start appends its records at one instance, chosen at random.
    """
    rng = random.Random(seed)
    started_s = time.monotonic()
    start_count = 0
    while True:
        elapsed_s = time.monotonic() - started_s
        if elapsed_s >= _MEASUREMENT_S:
            return start_count * _RECORDS_PER_TASK_START
        while start_count < elapsed_s * _TASK_STARTS_PER_S:
            instance = rng.choice(fleet.instances)
            for _ in range(_RECORDS_PER_TASK_START):
                key = f"{rng.getrandbits(64):016x}"
                instance.append(
                    _records.IntentRecorded("customer-1", key, key, 1e12)
                )
            start_count += 1
        time.sleep(0.005)


def _measure_control_rows(seed: int) -> list[_report.Row]:
    """Returns what an instance spends on the log and its peers.

    The rows hold processor time, bytes and memory for each fleet size.

    The slope is the increase per added instance, from a linear regression.
    """
    cpu_by_size: dict[int, float] = {}
    bytes_by_size: dict[int, float] = {}
    memory_by_size: dict[int, float] = {}
    for size in _FLEET_SIZES:
        memory_before_mib = _resident_memory_mib()
        fleet = _start_settled_fleet(size, seed)
        try:
            cpu_by_size[size], bytes_by_size[size] = _measure_control_cost(
                fleet, seed
            )
            memory_by_size[size] = (
                _resident_memory_mib() - memory_before_mib
            ) / size
        finally:
            fleet.stop()
    rows = []
    for metric, unit, by_size in (
        ("control processor time", "%", cpu_by_size),
        ("control bytes, peers and log", "B/s", bytes_by_size),
        ("memory above the process itself", "MiB", memory_by_size),
    ):
        rows += [
            _report.Row(f"{size} instances", metric, unit, (value,))
            for size, value in by_size.items()
        ]
        fit = statistics.linear_regression(
            list(by_size.keys()), list(by_size.values())
        )
        rows.append(
            _report.Row("slope", f"{metric}, each instance", unit, (fit.slope,))
        )
    return rows


def _measure_control_cost(
    fleet: _fleet.Fleet, seed: int
) -> tuple[float, float]:
    """Returns what one instance of a fleet spends on the log and its peers.

    The first value is processor time in percent of a core; the second is bytes
    per second sent to and received from peers and the log.
    """
    size = len(fleet.instances)
    payload_bytes = sum(len(each) for each in fleet.log.payloads)
    peer_bytes = _count_peer_bytes(fleet)
    cpu_s = time.process_time()
    _append_at_peak_rate(fleet, seed)
    cpu_s = time.process_time() - cpu_s
    peer_bytes = _count_peer_bytes(fleet) - peer_bytes
    payload_bytes = (
        sum(len(each) for each in fleet.log.payloads) - payload_bytes
    )
    read_bytes = payload_bytes * 4 / 3
    sent_bytes = payload_bytes / size
    bytes_per_instance = peer_bytes / size + read_bytes + sent_bytes
    return (
        100.0 * cpu_s / size / _MEASUREMENT_S,
        bytes_per_instance / _MEASUREMENT_S,
    )


def _count_peer_bytes(fleet: _fleet.Fleet) -> int:
    """Returns the bytes that all instances sent and received on peer links."""
    return sum(
        each.links.bytes_sent + each.links.bytes_received
        for each in fleet.instances
    )


def _resident_memory_mib() -> float:
    """Returns the resident memory of this process, in MiB."""
    return float(psutil.Process().memory_info().rss) / (1024 * 1024)
