"""Runs the benchmarks and writes docs/CAPACITY.md from their results."""

import pathlib
import sys

from basiljunction.bench import _registry
from basiljunction.bench import _report

SEED = 20261203
RUNS = 1
BENCHES = ("fold", "snapshot", "daemon", "churn", "overhead")
PAGE_PATH = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"

# Design size: task starts a second, log records a task, running batch tasks
# and instances of the fleet.
STARTS_PER_S = 63
RECORDS_PER_TASK = 4
TASKS_RUNNING = 15_000
INSTANCES = 8

# Budget for the control work of one daemon: percent of a core, MiB of memory
# and bytes a second.
CPU_BUDGET = 2.4
MEMORY_BUDGET_MIB = 256
BYTES_BUDGET = 19_000

MedianByRow = dict[tuple[str, str], float]


def _median_by_row(report: _report.Report) -> MedianByRow:
    """Returns the median of each row by its case and metric."""
    return {(row.case, row.metric): row.median for row in report.rows}


def _budget_verdict(value: float, budget: float) -> str:
    """Returns the table cell that says if a value is within its budget."""
    return "within" if value <= budget else "**over**"


def _format_table(report: _report.Report) -> list[str]:
    """Returns the lines of a Markdown table of a report."""
    lines = [
        f"\n### `basiljunction bench {report.name} --runs {RUNS} --json`\n"
    ]
    lines += ["| case | metric | median | unit |", "| --- | --- | --- | --- |"]
    lines += [
        f"| {row.case} | {row.metric} | {row.median:,.2f} | {row.unit} |"
        for row in report.rows
    ]
    return lines


def _find_median(figures: MedianByRow, case: str, part: str) -> float:
    """Returns the median of the first metric of a case that contains a text."""
    for (row_case, metric), value in figures.items():
        if row_case == case and part in metric:
            return value
    raise KeyError(f"{case}: {part}")


def _render_page(by_name: dict[str, _report.Report]) -> list[str]:
    """Returns the lines of the page from the report of each benchmark."""
    fold = _median_by_row(by_name["fold"])
    snapshot = _median_by_row(by_name["snapshot"])
    daemon = _median_by_row(by_name["daemon"])
    churn = _median_by_row(by_name["churn"])
    overhead = _median_by_row(by_name["overhead"])

    folded = _find_median(fold, "packed, deflated", "decoded and folded")
    record_bytes = _find_median(
        fold, "packed, deflated", "size of a task record"
    )
    records = STARTS_PER_S * RECORDS_PER_TASK
    fold_cpu = 100 * records / folded
    idle_cpu = _find_median(daemon, f"{INSTANCES} instances", "processor time")
    rss = _find_median(daemon, f"{INSTANCES} instances", "resident memory")
    control_bytes = _find_median(snapshot, f"{INSTANCES} instances", "bytes")
    bytes_slope = _find_median(snapshot, "slope", "bytes")
    state_bytes = _find_median(snapshot, "snapshot", "encoded state")
    encode_s = _find_median(snapshot, "snapshot", "time to encode")
    ready_s = _find_median(snapshot, "snapshot", "start to ready")
    appends = _find_median(snapshot, "batched, 8 instances", "appends")
    place_cpu = _find_median(churn, "interference-aware", "core used")
    request_us = _find_median(overhead, "instance, 600/s", "processor time")

    total_cpu = idle_cpu + fold_cpu + place_cpu / INSTANCES
    max_instances = INSTANCES + (BYTES_BUDGET - control_bytes) / bytes_slope
    return [
        "# Capacity",
        "",
        "Written by `make capacity` from the runs below; do not edit. One"
        " machine, loopback, small stand-ins. The size is the design size:"
        f" 790 workers, {TASKS_RUNNING:,} batch and 3,200 latency-critical"
        f" tasks running, {STARTS_PER_S} task starts a second, 94 customers."
        f" Budget for control of one daemon: {CPU_BUDGET} % of a core,"
        f" {MEMORY_BUDGET_MIB} MiB, {BYTES_BUDGET:,} B/s.",
        "",
        "## Roles",
        "",
        "All instances are equal; the roles are parts of each.",
        "",
        "| role | state | messages | processor time | memory | carried by |",
        "| --- | --- | --- | --- | --- | --- |",
        "| gateway | contracts, limits' shares, requests in flight | one"
        " request and one reply an internal hop | "
        f"{request_us:,.0f} us a request, so about {1e6 / request_us:,.0f}"
        " requests a second and instance | bounded queues; bodies up to"
        " `limits.body_bytes` each | least-outstanding owner, fair queue |",
        "| owner | slots of its executors, room of its workers, vouchers | a"
        " heartbeat and voucher to each member each 0.3 s |"
        f" {idle_cpu:.2f} % of a core without work at {INSTANCES} instances"
        f" (separate processes) | {rss:.0f} MiB resident in all | vouchers,"
        " suspicions, guarded take-over |",
        f"| log reader | the folded state, {state_bytes / 1e6:.2f} MB encoded"
        f" with {TASKS_RUNNING:,} tasks | {records} records a second, "
        f"{records * record_bytes / 1000:.1f} KB/s | {fold_cpu:.2f} % of a"
        f" core at {folded:,.0f} records a second | in the resident memory |"
        " one fold, packed and deflated batches |",
        f"| batch scheduler | pending queue and workers' room | claims share"
        f" appends: {appends:.0f} appends a second for the system |"
        f" {place_cpu:.2f} % of a core if one instance did all;"
        f" {place_cpu / INSTANCES:.2f} % each of {INSTANCES} | in the resident"
        " memory | indexes by group, claims by compare-and-set |",
        f"| snapshot writer | one encoded state | {state_bytes / 1e6:.2f} MB in"
        f" chunks now and then | {encode_s:.2f} s a snapshot, at the writer and"
        " its stand-by | twice the encoded state | chunks, checksums, one"
        " writer by the fold |",
        "| operator's client | none | one request, then one status a second"
        " and instance while it waits | start of the program | one process |"
        " compare-and-set on the version |",
        "",
        f"## Against the budget, one daemon of {INSTANCES} at the design size",
        "",
        "| what | figure | budget | verdict |",
        "| --- | --- | --- | --- |",
        f"| processor time (idle control + fold + placement) |"
        f" {total_cpu:.2f} % | {CPU_BUDGET} % |"
        f" {_budget_verdict(total_cpu, CPU_BUDGET)} |",
        f"| resident memory without tasks | {rss:.0f} MiB |"
        f" {MEMORY_BUDGET_MIB} MiB |"
        f" {_budget_verdict(rss, MEMORY_BUDGET_MIB)} |",
        f"| control bytes, peers and log | {control_bytes:,.0f} B/s |"
        f" {BYTES_BUDGET:,} B/s |"
        f" {_budget_verdict(control_bytes, BYTES_BUDGET)} |",
        f"| start to ready with {TASKS_RUNNING:,} tasks | {ready_s:.2f} s | 2 s"
        f" | {_budget_verdict(ready_s, 2.0)} |",
        "",
        "## What breaks first",
        "",
        f"- Bytes: {bytes_slope:,.0f} B/s more for each instance in a group, so"
        f" one group holds about {max_instances:.0f} instances within the"
        " budget. Larger fleets are split into groups; machines belong to a"
        " group.",
        f"- Requests: one instance answers about {1e6 / request_us:,.0f}"
        " requests a second behind one interpreter lock; more instances add"
        " as much each.",
        "- Processor time: see the verdict above. The plan, by the profile in"
        " [overhead](design/overhead.md): fewer wake-ups of idle tasks, one"
        " append timer for all tasks, and decoding in a compiled codec.",
        "- Not measured: the fleet's whole size in processes, a daemon's"
        " memory with all tasks and its placement at once, regions apart.",
        "",
        "## Runs",
        *[line for name in BENCHES for line in _format_table(by_name[name])],
        "",
    ]


def main() -> int:
    """Runs the benchmarks and writes the capacity page."""
    by_name = {}
    for name in BENCHES:
        print(f"bench {name}", file=sys.stderr)
        by_name[name] = _registry.load_benchmark(name).run(runs=RUNS, seed=SEED)
    PAGE_PATH.write_text("\n".join(_render_page(by_name)), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
