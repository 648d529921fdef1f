"""Tells when a rig was last disturbed by a fault.

Planned work is none: schedulers that resign, executors that exit as they have
announced, and new executors.
"""

import cell_rig


class FaultWatch:
    """Follows the faults of a rig.

    Args:
        rig: The rig.

    Attributes:
        last_s: Virtual time of the last fault.
    """

    def __init__(self, rig: cell_rig.CellRig) -> None:
        self._rig = rig
        self._up = _find_up(rig)
        self._born_ms_by_executor: dict[str, int] = {}
        self._has_new_loss()
        self.last_s = rig.now_s

    def check(self) -> None:
        """Notes the faults of the last step."""
        # The time of the loss counts, not that of the take-over.
        self.last_s = max(self.last_s, self._rig.scheduler_lost_s)
        if self._has_new_loss() or self._is_faulty():
            self.last_s = self._rig.now_s

    def _is_faulty(self) -> bool:
        """Returns whether a fault lasts now."""
        rig = self._rig
        return (
            not rig.store_is_up
            or rig.unconfirmed is not None
            or bool(rig.earlier_terms)
            or bool(rig.delayed_orders)
            or rig.last_loss_s >= rig.now_s - cell_rig.STEP_S
            or any(
                not each.is_answering or each.refuses_for_capacity
                for each in rig.executor_by_id.values()
                if each.is_up
            )
        )

    def _has_new_loss(self) -> bool:
        """Returns whether an executor was lost or restarted since last time."""
        rig = self._rig
        up = _find_up(rig)
        lost = {
            each
            for each in self._up - up
            if not rig.executor_by_id[each].entry.is_draining
        }
        self._up = up
        born_ms_by_executor = {
            name: each.born_ms for name, each in rig.executor_by_id.items()
        }
        has_restarted = any(
            born_ms_by_executor[name] != born_ms
            for name, born_ms in self._born_ms_by_executor.items()
        )
        self._born_ms_by_executor = born_ms_by_executor
        return bool(lost) or has_restarted


def _find_up(rig: cell_rig.CellRig) -> set[str]:
    """Returns the ids of the executors that are up."""
    return {name for name, each in rig.executor_by_id.items() if each.is_up}
