"""Measures the control cost of a real entry instance by number of instances.

Starts the demo's processes on loopback without any work and reads processor
time and memory of each ``serve`` process from the operating system. Without
requests and tasks, what remains is control: heartbeats, vouchers (replies to
heartbeats that extend a lease), the log and the polled list of executors.
"""

import dataclasses
import pathlib
import statistics
import tempfile
import time

import psutil

from basiljunction.bench import _report
from basiljunction.demo import _deployment_run
from basiljunction.demo import _deployments

INSTANCE_COUNTS = (4, 8, 12)
"""Numbers of entry instances that are compared."""

BASELINE_INSTANCE_COUNT = 4
"""Number of entry instances that serves as the baseline."""

WORKER_COUNT = 12
"""Number of workers in each deployment."""

SETTLE_S = 3.0
"""Time between start and measurement, in seconds."""

MEASUREMENT_S = 8.0
"""Length of the measurement, in seconds."""

EXAMPLES_FOLDER = pathlib.Path("examples")
"""Folder of the demo's example documents, below the repository root."""

BYTES_PER_MIB = 1 << 20
"""Bytes in one MiB."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ProcessCost:
    """Medians over the ``serve`` processes of one deployment.

    Attributes:
        cpu_percent: Processor time, in percent of one core.
        rss_mib: Resident memory.
        threads: Number of threads.
    """

    cpu_percent: float
    rss_mib: float
    threads: float


def _measure_deployment(instance_count: int, seed: int) -> _ProcessCost:
    """Runs an idle deployment and returns the cost of its processes."""
    deployment = dataclasses.replace(
        _deployments.SIGNALWISE,
        entry_instances=instance_count,
        workers=WORKER_COUNT,
    )
    with tempfile.TemporaryDirectory() as folder:
        run = _deployment_run.DeploymentRun(
            deployment,
            examples=EXAMPLES_FOLDER,
            folder=pathlib.Path(folder),
            seed=seed,
        )
        try:
            run.start()
            time.sleep(SETTLE_S)
            return _measure_processes(run)
        finally:
            run.close()


def _measure_processes(run: _deployment_run.DeploymentRun) -> _ProcessCost:
    """Measures the ``serve`` processes of a running deployment."""
    cluster = run.cluster
    processes = [
        psutil.Process(cluster.instance_pid(each))
        for each in cluster.instance_by_name.values()
    ]
    before = [_processor_time_s(each) for each in processes]
    time.sleep(MEASUREMENT_S)
    used = [
        _processor_time_s(each) - start
        for each, start in zip(processes, before, strict=True)
    ]
    rss = [each.memory_info().rss / BYTES_PER_MIB for each in processes]
    threads = [each.num_threads() for each in processes]
    return _ProcessCost(
        cpu_percent=100 * statistics.median(used) / MEASUREMENT_S,
        rss_mib=statistics.median(rss),
        threads=statistics.median(threads),
    )


def _processor_time_s(process: psutil.Process) -> float:
    """Returns the user and system processor time of a process."""
    times = process.cpu_times()
    return float(times.user + times.system)


def _make_rows(
    instance_count: int, samples: list[_ProcessCost]
) -> list[_report.Row]:
    """Returns the report rows of one number of instances."""
    case = f"{instance_count} instances"
    baseline = instance_count == BASELINE_INSTANCE_COUNT

    def make_row(metric: str, unit: str, values: list[float]) -> _report.Row:
        """Returns one row with a value for each run."""
        return _report.Row(case, metric, unit, tuple(values), baseline)

    return [
        make_row(
            "control processor time", "%", [s.cpu_percent for s in samples]
        ),
        make_row("resident memory", "MiB", [s.rss_mib for s in samples]),
        make_row("threads", "threads", [s.threads for s in samples]),
    ]


def run(*, runs: int, seed: int) -> _report.Report:
    """Measures the idle cost of ``serve`` processes by number of instances.

    The row ``slope`` reports how much the processor time of one process rises
    per added instance.
    """
    rows: list[_report.Row] = []
    samples_by_size: dict[int, list[_ProcessCost]] = {}
    for size in INSTANCE_COUNTS:
        samples = [
            _measure_deployment(size, seed + number) for number in range(runs)
        ]
        samples_by_size[size] = samples
        rows += _make_rows(size, samples)
    slopes = [
        (
            samples_by_size[INSTANCE_COUNTS[-1]][run_index].cpu_percent
            - first.cpu_percent
        )
        / (INSTANCE_COUNTS[-1] - INSTANCE_COUNTS[0])
        for run_index, first in enumerate(samples_by_size[INSTANCE_COUNTS[0]])
    ]
    rows.append(
        _report.Row(
            "slope",
            "control processor time, each instance",
            "%",
            tuple(slopes),
        )
    )
    return _report.Report("daemon", seed, tuple(rows))
