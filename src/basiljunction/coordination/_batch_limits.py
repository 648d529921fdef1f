"""Ends claimed or pending tasks after quotas or workers were reduced."""

import xxhash

from basiljunction.coordination import _batch_attempts
from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_index
from basiljunction.coordination import _batch_model
from basiljunction.state import _contract
from basiljunction.state import _fold_jobs
from basiljunction.state import _job
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system

CHECK_INTERVAL_S = 5.0
"""Time between two checks, in seconds."""

NEVER_FITS_TIMEOUT_S = 600.0
"""Time that a task which fits no registered worker stays pending before it
ends, in seconds."""


class LimitEnforcer:
    """Ends tasks that exceed a reduced quota or fit no registered worker.

    Args:
        context: State and tables shared by the parts of the batch core.
        attempts: Ends attempts.
        index: Queue of pending units.
    """

    def __init__(
        self,
        context: _batch_context.BatchContext,
        attempts: _batch_attempts.AttemptDriver,
        index: _batch_index.ReadyUnitIndex,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._index = index
        self._next_check_boot_s = 0.0

    def enforce_limits(self) -> None:
        """Checks quotas and pending tasks if the last check is old enough.

        Does nothing unless this instance holds the lease.
        """
        now_s = self._context.now.boot_s
        if now_s < self._next_check_boot_s or not self._context.holds_lease:
            return
        self._next_check_boot_s = now_s + CHECK_INTERVAL_S
        for customer in self._context.state.contract_by_customer:
            self._evict_over_quota(customer)
        self._end_tasks_that_never_fit()

    def _evict_over_quota(self, customer: str) -> None:
        """Evicts the owned attempts of a customer that exceed its quota.

        All instances sort the claimed tasks in the same order. So together
        they evict exactly the tasks that come after the quota is used up.
        """
        state = self._context.state
        quota = state.contract_by_customer[customer].contract.quota
        usage = state.usage_by_customer.get(customer, _system.CustomerUsage())
        if _is_within_quota(usage, quota):
            return
        kept_usage = _system.CustomerUsage()
        for task_id in self._claimed_tasks_in_order(customer):
            demand = state.task_by_id[task_id].spec.demand
            kept_usage.millicores += demand.millicores
            kept_usage.memory_mib += demand.memory_mib
            kept_usage.accelerators += demand.accelerators
            kept_usage.tasks += 1
            attempt = self._context.attempt_by_task.get(task_id)
            if attempt is not None and not _is_within_quota(kept_usage, quota):
                self._attempts.begin_ending(
                    attempt,
                    _batch_model.EndGoal.EVICT,
                    "the contract's quota was reduced",
                )

    def _claimed_tasks_in_order(self, customer: str) -> list[str]:
        """Returns the ids of a customer's claimed tasks, sorted by hash."""
        state = self._context.state
        claimed = [
            task_id
            for task_id, task in state.task_by_id.items()
            if task.phase is _job.TaskPhase.CLAIMED
            and state.job_by_id[task.job_id].job.customer == customer
        ]
        return sorted(
            claimed, key=lambda each: xxhash.xxh32_intdigest(each.encode())
        )

    def _end_tasks_that_never_fit(self) -> None:
        """Ends pending tasks that fit none of the registered workers.

        Only the most preferred instance of a task does so.
        """
        context = self._context
        fits_by_demand: dict[_job.ResourceDemand, bool] = {}
        for unit in list(self._index.queue.units()):
            waited_s = context.now.boot_s - unit.ready_boot_s
            if unit.preference_rank > 0 or waited_s < NEVER_FITS_TIMEOUT_S:
                continue
            for task_id, demand in zip(
                unit.task_ids, unit.demands, strict=True
            ):
                if demand not in fits_by_demand:
                    fits_by_demand[demand] = _fold_jobs.fits_some_worker(
                        context.state, demand
                    )
                if not fits_by_demand[demand]:
                    self._end_as_never_fitting(task_id)

    def _end_as_never_fitting(self, task_id: str) -> None:
        """Appends the record that ends a task as `never-fits`."""
        detail = f"no worker was large enough for {NEVER_FITS_TIMEOUT_S:.0f} s"
        self._context.explain(task_id, "never-fits", detail)
        record = _records.TaskEnded(
            task_id=task_id,
            attempt=self._context.state.task_by_id[task_id].attempt,
            reason=str(_outcomes.Reason.NEVER_FITS),
            detail=detail,
        )
        self._context.append_record(record)


def _is_within_quota(
    usage: _system.CustomerUsage, quota: _contract.Quota
) -> bool:
    """Returns whether usage exceeds a quota in no resource."""
    return (
        usage.millicores <= quota.millicores
        and usage.memory_mib <= quota.memory_mib
        and usage.accelerators <= quota.accelerators
        and usage.tasks <= quota.tasks
    )
