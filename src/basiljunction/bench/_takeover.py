"""Measures how long machines have no usable owner after an instance stops.

One instance of four stops at once, like a process that is killed. The others
take its machines over, and may use them only after the guard time. The
baseline waits until a voucher has expired before it suspects the instance, and
then for the guard time.
"""

from collections.abc import Callable
import time

from basiljunction.bench import _fleet
from basiljunction.bench import _report
from basiljunction.bench import _workload
from basiljunction.coordination import _timing

_INSTANCE_COUNT = 4
"""Number of instances in the fleet."""

_WORKER_COUNT = 40
"""Number of machines that the instances own."""

_WAIT_TIMEOUT_S = 30.0
"""Limit on each wait, in seconds."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Measures how fast others take over the machines of a stopped instance.

    The baseline suspects the instance only after a voucher, the promise of a
    peer that extends its lease, must have expired.
    """
    cases = (
        ("guard only", _timing.LeaseTiming(), False),
        (
            "wait, then guard",
            _timing.LeaseTiming(
                suspect_after_s=1.0 + _timing.LeaseTiming().voucher_s
            ),
            True,
        ),
    )
    rows: list[_report.Row] = []
    for case, timing, baseline in cases:
        measured = [
            _measure_take_over(timing, seed=seed + index)
            for index in range(runs)
        ]
        for position, metric in enumerate(
            ("owner named after a death", "machines usable after a death")
        ):
            values = tuple(each[position] for each in measured)
            rows.append(_report.Row(case, metric, "s", values, baseline))
        rows.append(
            _report.Row(case, "guard time", "s", (timing.guard_s,), baseline)
        )
    return _report.Report("takeover", seed, tuple(rows))


def _measure_take_over(
    timing: _timing.LeaseTiming, *, seed: int
) -> tuple[float, float]:
    """Stops one instance and measures the take-over of its machines.

    Returns:
        The seconds until each machine has another owner in the folded state,
        and the seconds until each owner may use all of its machines.
    """
    fleet = _fleet.Fleet(
        _INSTANCE_COUNT, seed=seed, options=_fleet.FleetOptions(timing=timing)
    )
    fleet.start()
    try:
        _fleet.wait_until(
            lambda: _fleet.is_membership_complete(fleet),
            within_s=_WAIT_TIMEOUT_S,
        )
        observer, stopped_instance = fleet.instances[0], fleet.instances.pop()
        machines = [
            _workload.make_machine_registration(index)
            for index in range(_WORKER_COUNT)
        ]
        observer.append(*machines).result(_WAIT_TIMEOUT_S)
        _fleet.wait_until(
            _make_ownership_check(observer, ""), within_s=_WAIT_TIMEOUT_S
        )
        # An instance suspects no peer until the guard time since its own start
        # has passed.
        time.sleep(timing.guard_s)
        stopped_at_s = observer.clock.now().boot_s
        stopped_instance.stop()
        reassigned_s = _fleet.wait_until(
            _make_ownership_check(observer, stopped_instance.name),
            within_s=_WAIT_TIMEOUT_S,
        )
        _fleet.wait_until(
            lambda: _are_all_machines_usable(fleet, observer),
            within_s=_WAIT_TIMEOUT_S,
            step_s=0.02,
        )
        return reassigned_s, observer.clock.now().boot_s - stopped_at_s
    finally:
        fleet.stop()


def _make_ownership_check(
    observer: _fleet.FleetInstance, excluded_owner: str
) -> Callable[[], bool]:
    """Returns a check that every machine has an owner.

    An owner named ``excluded_owner`` does not count. The check reads the state
    that ``observer`` has folded.
    """

    def check() -> bool:
        """Returns whether every machine has an owner that counts."""
        owners: set[str] = observer.query(
            lambda state: {
                machine.owner for machine in state.machine_by_id.values()
            }
        )
        return not owners & {"", excluded_owner}

    return check


def _are_all_machines_usable(
    fleet: _fleet.Fleet, observer: _fleet.FleetInstance
) -> bool:
    """Returns whether every owner may use its machines.

    An owner may use a machine once its view has the current epoch of the
    ownership and the guard time has passed.
    """
    epoch_by_key: dict[tuple[str, str], int] = observer.query(
        lambda state: {
            (machine.owner, machine.registered.executor): machine.epoch
            for machine in state.machine_by_id.values()
        }
    )
    view_by_instance = {each.name: each.urgent.view for each in fleet.instances}
    now_s = observer.clock.now().boot_s
    for (owner, executor), epoch in epoch_by_key.items():
        view = view_by_instance[owner]
        if view is None or executor not in view.executor_by_id:
            return False
        executor_view = view.executor_by_id[executor]
        if (
            executor_view.epoch != epoch
            or now_s < executor_view.usable_from_boot_s
        ):
            return False
    return True
