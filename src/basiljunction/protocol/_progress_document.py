"""JSON form of the progress of a job, as records in the store have it.

Field names never change meaning.
"""

from typing import Any

from basiljunction.state.workload import _position_set
from basiljunction.state.workload import _progress

RANGES_SHARE = 8
"""Positions per range from which on ranges are stored: a row of a range takes
about twice the bytes of a position, and earlier versions read only these."""


def encode_progress(progress: _progress.JobProgress) -> dict[str, Any]:
    """Converts the progress of a job to a dict for JSON."""
    document: dict[str, Any] = {
        "state": progress.state.value,
        "finished": progress.finished_wall_s,
        **_encode_completed(progress.completed_positions),
        "failed_runs": [
            (*place, *sorted(runs))
            for place, runs in progress.failed_runs_by_position.items()
        ],
        "checkpoints": [
            (*place, text)
            for place, text in progress.checkpoint_by_position.items()
        ],
    }
    if progress.executor_by_position is not None:
        document["executors"] = [
            (*place, executor)
            for place, executor in progress.executor_by_position.items()
        ]
    if progress.crashes_by_position:
        document["crashes"] = [
            (
                *place,
                crashes.shared_executors,
                crashes.isolated_executors,
                crashes.attempt_executor,
            )
            for place, crashes in progress.crashes_by_position.items()
        ]
    if progress.slow_run_by_position:
        document["slow_runs"] = [
            (*place, slow.run_number, slow.slow_s)
            for place, slow in progress.slow_run_by_position.items()
        ]
    return document


def decode_progress(document: dict[str, Any]) -> _progress.JobProgress:
    """Converts the dict of a progress record to the progress."""
    return _progress.JobProgress(
        state=_progress.JobState(document["state"]),
        finished_wall_s=float(document["finished"]),
        completed_positions=_decode_completed(document),
        failed_runs_by_position={
            _parse_position(row[:3]): {int(each) for each in row[3:]}
            for row in document["failed_runs"]
        },
        checkpoint_by_position={
            _parse_position(row[:3]): str(row[3])
            for row in document["checkpoints"]
        },
        executor_by_position=(
            {
                _parse_position(row[:3]): str(row[3])
                for row in document["executors"]
            }
            if "executors" in document
            else None
        ),
        crashes_by_position={
            _parse_position(row[:3]): _progress.TaskCrashes(
                tuple(str(each) for each in row[3]),
                tuple(str(each) for each in row[4]),
                str(row[5]),
            )
            for row in document.get("crashes", ())
        },
        slow_run_by_position={
            _parse_position(row[:3]): _progress.SlowRun(
                int(row[3]), float(row[4])
            )
            for row in document.get("slow_runs", ())
        },
    )


def _encode_completed(
    positions: _position_set.PositionSet,
) -> dict[str, Any]:
    """Converts positions of done tasks to a field for JSON.

    Ranges are stored where they are shorter. Earlier versions read only single
    positions.
    """
    rows = positions.rows()
    if RANGES_SHARE * len(rows) > len(positions):
        return {"done": sorted(positions)}
    return {"done": [], "done_ranges": rows} if rows else {"done": []}


def _decode_completed(document: dict[str, Any]) -> _position_set.PositionSet:
    """Converts the fields of a progress record to positions of done tasks."""
    rows = [
        (int(first), int(stop), int(step), int(index), int(index_stop))
        for first, stop, step, index, index_stop in document.get(
            "done_ranges", ()
        )
    ]
    return _position_set.PositionSet(
        (_parse_position(row) for row in document["done"]), rows=rows
    )


def _parse_position(row: list[int]) -> _progress.TaskPosition:
    """Converts a list to the position of a task in its job."""
    occurrence, step, index = (int(each) for each in row)
    return (occurrence, step, index)
