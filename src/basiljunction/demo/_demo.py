"""Runs both deployments concurrently and reports the invariants."""

from collections.abc import Callable
from concurrent import futures
import pathlib
import time
from typing import TypeVar

from basiljunction.demo import _deployment_run
from basiljunction.demo import _deployments
from basiljunction.demo import _disturbances
from basiljunction.demo import _figures
from basiljunction.demo import _invariants
from basiljunction.demo import _report

PROGRESS_INTERVAL_S = 0.5
"""Interval between progress lines, in seconds."""

_T = TypeVar("_T")
"""Type of a future's result."""


def run(
    *,
    examples: pathlib.Path,
    out: pathlib.Path,
    seconds: float,
    seed: int,
    show: Callable[[str], None],
) -> _report.Report:
    """Runs the demo and writes its report.

    Args:
        examples: Folder of the example contracts.
        out: Folder for the report, settings and log files.
        seconds: How long the workload is sent.
        seed: Seed of the workload and the stand-in services.
        show: Called with each line of progress.

    Returns:
        The report that was written.
    """
    runs = [
        _deployment_run.DeploymentRun(
            deployment,
            examples=examples,
            folder=out / deployment.customer,
            seed=seed,
        )
        for deployment in _deployments.ALL_DEPLOYMENTS
    ]
    try:
        report = _run_all(runs, seconds=seconds, seed=seed, show=show)
    finally:
        for each in runs:
            each.close()
    report.write_files(out)
    return report


def _run_all(
    runs: list[_deployment_run.DeploymentRun],
    *,
    seconds: float,
    seed: int,
    show: Callable[[str], None],
) -> _report.Report:
    """Starts and runs all deployments concurrently; returns the report."""
    with futures.ThreadPoolExecutor(len(runs)) as pool:
        show("starting deployments")
        _wait_for_results([pool.submit(each.start) for each in runs])
        begin_s = time.monotonic()

        def show_progress() -> None:
            """Shows the elapsed time and each deployment's progress."""
            elapsed_s = time.monotonic() - begin_s
            words = ", ".join(each.describe_progress() for each in runs)
            show(f"{elapsed_s:5.1f} s of {seconds:.0f}: {words}")

        disturb = _disturbances.make_demo_disturbance(seconds)
        _wait_for_results(
            [pool.submit(each.run_workload, seconds, disturb) for each in runs],
            show_progress,
        )
        show("waiting for jobs to end, reading journals")
        evidences = _wait_for_results(
            [pool.submit(each.collect_evidence) for each in runs]
        )
    answers = [a for evidence in evidences for a in evidence.answers]
    events = [e for evidence in evidences for e in evidence.worker_events]
    coverage = [
        f"{each.deployment.customer}: {_figures.compute_coverage(evidence)}"
        for each, evidence in zip(runs, evidences, strict=True)
    ]
    notes = [note for each in runs for note in each.summary_lines()]
    return _report.Report(
        title=f"basiljunction demo, {seconds:.0f} s of workload, seed {seed}",
        notes=(*notes, *coverage),
        requests=_figures.compute_request_figures(answers),
        tasks=_figures.compute_task_figures(events),
        results={
            each.deployment.customer: _invariants.check_invariants(evidence)
            for each, evidence in zip(runs, evidences, strict=True)
        },
    )


def _wait_for_results(
    pending: "list[futures.Future[_T]]",
    show_progress: Callable[[], None] = lambda: None,
) -> list[_T]:
    """Waits for all futures and returns their results in order.

    Args:
        pending: The futures.
        show_progress: Called every ``PROGRESS_INTERVAL_S`` while waiting.
    """
    while futures.wait(pending, timeout=PROGRESS_INTERVAL_S).not_done:
        show_progress()
    return [each.result() for each in pending]
