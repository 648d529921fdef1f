"""Measures a placement pass by the number of steps that wait without room.

The executors of the rig are full, so that no pass starts anything. Prints the
processor time of the longest pass, which opens the steps, and the mean of all.
"""

import argparse
import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "tests")
)

from basiljunction.coordination.scheduling import _placer
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec
import cell_rig
import workload_builders as build

STEP_COUNTS = (10, 100, 1_000, 10_000, 300_000)
"""Numbers of waiting steps that are measured."""

STEPS_PER_JOB = 1_000
"""Largest number of steps of a job."""

MAX_DIFFERENT_STEPS = 10_000
"""Most steps measured that all differ: ten jobs of the largest size."""

STEPS_PER_OCCURRENCE = 30
"""Number of steps of a job with many occurrences."""

EXECUTORS = 8
"""Number of executors."""

MEASURED_S = 2.0
"""Virtual time that is measured, in seconds."""


class _PassTimer:
    """Measures the passes of a rig's scheduler.

    Args:
        rig: The rig.
    """

    def __init__(self, rig: cell_rig.CellRig) -> None:
        self.times_ms: list[float] = []
        placer: _placer.Placer = rig.scheduler._placer  # noqa: SLF001
        self._place = placer.place_waiting_tasks
        placer.place_waiting_tasks = self._measure  # type: ignore[method-assign]

    def _measure(self, now: _time.Now) -> None:
        """Runs a pass and records its processor time."""
        begun_s = time.process_time()
        self._place(now)
        self.times_ms.append(1_000 * (time.process_time() - begun_s))


def _make_full_rig() -> cell_rig.CellRig:
    """Returns a rig whose executors have no room for any task."""
    rig = cell_rig.CellRig(
        *(build.executor_entry(f"e{number}") for number in range(EXECUTORS))
    )
    rig.run(1)
    rig.run_time_s = 1_000.0
    whole = build.step_spec(
        count=EXECUTORS, size=_job_spec.Resources(4_000, 8_000, 0)
    )
    rig.submit(build.accepted_job(whole, job_id="0f"))
    rig.run(0.5)
    return rig


def _submit(rig: cell_rig.CellRig, step_count: int, *, are_equal: bool) -> None:
    """Submits jobs with a number of independent steps in all."""
    if are_equal:
        steps = (build.step_spec(),) * min(STEPS_PER_OCCURRENCE, step_count)
        rig.submit(
            build.accepted_job(*steps, repeat_count=step_count // len(steps))
        )
        return
    for first in range(0, step_count, STEPS_PER_JOB):
        sizes = range(min(STEPS_PER_JOB, step_count - first))
        steps = tuple(
            build.step_spec(size=_job_spec.Resources(1_000, 1_000 + each, 0))
            for each in sizes
        )
        rig.submit(build.accepted_job(*steps, job_id=f"{first:016x}"))


def main() -> None:
    """Prints a table of the time of a pass."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--most", type=int, default=STEP_COUNTS[-1], help="most steps"
    )
    most = parser.parse_args().most
    print("| waiting steps | kinds | longest pass, ms | mean pass, ms |")
    print("| --- | --- | --- | --- |")
    for step_count in STEP_COUNTS:
        for are_equal in (True, False):
            if step_count > (most if are_equal else MAX_DIFFERENT_STEPS):
                continue
            rig = _make_full_rig()
            _submit(rig, step_count, are_equal=are_equal)
            timer = _PassTimer(rig)
            rig.run(MEASURED_S)
            kinds = "one" if are_equal else "all differ"
            mean_ms = sum(timer.times_ms) / len(timer.times_ms)
            print(
                f"| {step_count} | {kinds} | {max(timer.times_ms):.2f} |"
                f" {mean_ms:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
