"""Limits that change under work: smaller quotas and workers that are gone."""

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

CHECK_S = 5.0

NEVER_FITS_S = 600.0
"""How long a task that no worker could hold waits for one, in seconds."""


class Limits:
    """Ends work that a limit no longer allows.

    Args:
        context: Shared tables.
        attempts: Ends attempts.
        index: Ready units.
    """

    def __init__(
        self,
        context: _batch_context.Context,
        attempts: _batch_attempts.Attempts,
        index: _batch_index.Index,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._index = index
        self._next_check_boot_s = 0.0

    def tick(self) -> None:
        """Checks now and then."""
        now_s = self._context.now.boot_s
        if now_s < self._next_check_boot_s or not self._context.may_act:
            return
        self._next_check_boot_s = now_s + CHECK_S
        for customer in self._context.state.contract_by_customer:
            self._check_quota(customer)
        self._check_never_fits()

    def _check_quota(self, customer: str) -> None:
        """Evicts what a smaller quota no longer holds.

        All owners order the claimed tasks alike, so that together they evict
        just the ones after the quota is full.
        """
        state = self._context.state
        quota = state.contract_by_customer[customer].contract.quota
        usage = state.usage_by_customer.get(customer, _system.Usage())
        if _within(usage, quota):
            return
        kept = _system.Usage()
        for task_id in self._claimed_in_order(customer):
            demand = state.task_by_id[task_id].spec.demand
            kept.millicores += demand.millicores
            kept.memory_mib += demand.memory_mib
            kept.accelerators += demand.accelerators
            kept.tasks += 1
            attempt = self._context.attempt_by_task.get(task_id)
            if attempt is not None and not _within(kept, quota):
                self._attempts.end(
                    attempt,
                    _batch_model.Goal.EVICT,
                    "the contract's quota became smaller",
                )

    def _claimed_in_order(self, customer: str) -> list[str]:
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

    def _check_never_fits(self) -> None:
        """Ends tasks that only workers now gone could have held."""
        context = self._context
        fits_by_demand: dict[_job.Demand, bool] = {}
        for unit in list(self._index.queue.units()):
            waited_s = context.now.boot_s - unit.ready_boot_s
            if unit.rank > 0 or waited_s < NEVER_FITS_S:
                continue
            for task_id, demand in zip(
                unit.task_ids, unit.demands, strict=True
            ):
                if demand not in fits_by_demand:
                    fits_by_demand[demand] = _fold_jobs.fits_some_worker(
                        context.state, demand
                    )
                if not fits_by_demand[demand]:
                    self._end(task_id)

    def _end(self, task_id: str) -> None:
        detail = f"no worker could hold it for {NEVER_FITS_S:.0f} s"
        self._context.explain(task_id, "never-fits", detail)
        record = _records.TaskEnded(
            task_id=task_id,
            attempt=self._context.state.task_by_id[task_id].attempt,
            reason=str(_outcomes.Reason.NEVER_FITS),
            detail=detail,
        )
        self._context.append_record(record)


def _within(usage: _system.Usage, quota: _contract.Quota) -> bool:
    return (
        usage.millicores <= quota.millicores
        and usage.memory_mib <= quota.memory_mib
        and usage.accelerators <= quota.accelerators
        and usage.tasks <= quota.tasks
    )
