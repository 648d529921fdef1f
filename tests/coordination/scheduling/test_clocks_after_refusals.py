"""Tests of late answers of an executor that was refused at its address."""

from basiljunction.coordination.scheduling import _limits
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


def test_a_refusal_ends_the_lease_that_a_restart_may_have_had() -> None:
    rig = cell_rig.CellRig(build.executor_entry("e1"))
    rig.run(61)
    state = rig.scheduler.cell.executor_by_id["e1"]
    now = build.clock_readings_at(rig.now_s)
    rig.scheduler.handle_clock("e1", state.clock, 0, now, sent_s=rig.now_s)
    rig.executor_by_id["e1"].is_answering = False
    # Its next renewal is for the present incarnation.
    rig.run(0.3)
    assert state.lease_left_s() > 0.0
    now = build.clock_readings_at(rig.now_s)
    rig.scheduler.handle_renewal_failure(
        _orders.RenewalOrder("e1", None, 0, 0), now, is_other_incarnation=True
    )
    assert state.lease_left_s() == 0.0


def test_an_address_is_asked_again_in_time_after_many_failures() -> None:
    rig = cell_rig.CellRig(build.executor_entry("e1"))
    rig.run(1)
    state = rig.scheduler.cell.executor_by_id["e1"]
    now = build.clock_readings_at(rig.now_s)
    for is_other_incarnation in (*[False] * 30, True):
        rig.scheduler.handle_renewal_failure(
            _orders.RenewalOrder("e1", None, 0, 0),
            now,
            is_other_incarnation=is_other_incarnation,
        )
    assert state.next_renewal_s <= rig.now_s + _limits.MAX_REFUSED_RETRY_S
