"""Tests of late answers of an executor that was refused at its address."""

from basiljunction.coordination.scheduling import _orders
import cell_rig
import workload_builders as build


def test_an_early_reading_of_its_clock_is_no_restart() -> None:
    rig = cell_rig.CellRig(
        build.executor_entry("e1"), build.executor_entry("e2")
    )
    rig.run(61)
    executor = rig.executor_by_id["e1"]
    executor.is_answering = False
    rig.run(2)
    executor.restart()
    rig.run(0.3)
    rig.scheduler.handle_renewal_failure(
        _orders.RenewalOrder("e1", None, 0, 0),
        build.clock_readings_at(rig.now_s),
        is_other_incarnation=True,
    )
    known = rig.scheduler.cell.executor_by_id["e1"].clock
    early_ms, sent_s = executor.clock_ms, rig.now_s
    executor.is_answering = True
    rig.list_executors()
    rig.submit(
        build.accepted_job(
            build.step_spec(count=6, runs_until_cancelled=True),
            in_queue=build.queue("watch"),
        )
    )
    rig.run(3.5)
    rig.holds_renewals = True
    rig.add_executor(build.executor_entry("e3"))
    rig.run(2)
    assert executor.run_by_key
    rig.scheduler.handle_clock(
        "e1",
        known,
        early_ms,
        build.clock_readings_at(rig.now_s),
        sent_s=sent_s,
    )
    # The rig fails if a task starts elsewhere while it still runs.
    rig.run(3)
    assert rig.count_lasting_runs() == 6
