"""Starts and ends calls on the executors that this instance owns."""

import random

from basiljunction.coordination import _ejection
from basiljunction.coordination import _executor_choice
from basiljunction.coordination import _executor_slots
from basiljunction.coordination import _latency
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _views
from basiljunction.state import _outcomes


class ExecutorFleet:
    """Starts calls on owned executors and learns from their outcomes.

    Keeps the slots in use, the service times, and which executors are ejected,
    that is, get no calls after repeated failures or slow answers.

    Args:
        chooser: Load balancing policy among executors.
        source: Source of randomness.
    """

    def __init__(
        self, *, chooser: _executor_choice.Chooser, source: random.Random
    ) -> None:
        self._chooser = chooser
        self._source = source
        self._slots = _executor_slots.ExecutorSlots()
        self._ejector = _ejection.ExecutorEjector(source)
        self._view_by_executor: dict[str, _views.ExecutorView] = {}
        self._total_slots = 0
        self._call_by_id: dict[int, _urgent_request.CallExecutor] = {}
        self._next_call_id = 1
        self.service_times = _latency.ServiceTimeEstimator()

    @property
    def total_slots(self) -> int:
        """Number of slots of all executors that this instance owns."""
        return self._total_slots

    def free_slots(self, boot_s: float) -> int:
        """Returns the number of slots that could be taken now."""
        return sum(
            self._slots.free_slots(name, boot_s)
            for name in self._view_by_executor
        )

    def slots_in_use_on_leaving(self, boot_s: float) -> dict[str, int]:
        """Returns the slots in use on owned, leaving executors, by executor."""
        return self._slots.slots_in_use_on_leaving(boot_s)

    def update_view(
        self,
        view: _views.FleetView,
        class_keys: set[tuple[str, str]],
        boot_s: float,
    ) -> None:
        """Applies a new fleet view and drops what is no longer in it.

        Args:
            view: The view.
            class_keys: Customer and class name of each existing work class.
            boot_s: Current time.
        """
        self._slots.update_view(view, boot_s)
        self._view_by_executor = {
            each.executor: each for each in self._slots.owned_executors()
        }
        self._total_slots = sum(
            each.slots for each in self._view_by_executor.values()
        )
        owned = set(self._view_by_executor)
        self._ejector.retain_executors(owned)
        self.service_times.retain_known(class_keys, owned)

    def list_candidates(
        self, boot_s: float
    ) -> list[_executor_choice.Candidate]:
        """Returns the executors that can take a call now."""
        candidates = []
        for name, view in self._view_by_executor.items():
            free = self._slots.free_slots(name, boot_s)
            if not free or self._ejector.is_ejected(name, boot_s):
                continue
            used = view.slots - free
            if used and self._ejector.is_probing(name):
                continue
            slowdown = self.service_times.slowdown(name, boot_s)
            candidate = _executor_choice.Candidate(
                name, view.slots, used, slowdown
            )
            candidates.append(candidate)
        return candidates

    def start_call(
        self,
        hop: _urgent_request.Hop,
        candidates: list[_executor_choice.Candidate],
        tried: set[str],
        boot_s: float,
    ) -> _urgent_request.CallExecutor:
        """Takes a slot for a hop and returns the call to make.

        Args:
            hop: The hop.
            candidates: Executors with a free slot.
            tried: Executors called for the hop before; avoided if possible.
            boot_s: Current time.

        Raises:
            RuntimeError: If the chosen executor has no free slot.
        """
        untried = [each for each in candidates if each.name not in tried]
        chosen = self._chooser.choose(untried or candidates, self._source)
        view = self._view_by_executor[chosen.name]
        call = _urgent_request.CallExecutor(
            call_id=self._next_call_id,
            executor=chosen.name,
            address=view.address,
            connections=view.slots,
            hop=hop,
            deadline_boot_s=hop.deadline_boot_s,
        )
        if not self._slots.take_slot(chosen.name, call.call_id, boot_s):
            raise RuntimeError(f"executor {chosen.name!r} has no free slot")
        self._next_call_id += 1
        self._call_by_id[call.call_id] = call
        return call

    def executor_of(self, call_id: int) -> str:
        """Returns the id of the executor that a call in flight runs on."""
        return self._call_by_id[call_id].executor

    def end_call(
        self, event: _urgent_request.CallEnded, boot_s: float
    ) -> _urgent_request.CallExecutor | None:
        """Releases the slot of an ended call and learns from its outcome.

        The slot of a call with an unknown outcome stays taken, since the call
        may still run.

        Args:
            event: The end of the call.
            boot_s: Current time.

        Returns:
            The call; None if it is not in flight.
        """
        call = self._call_by_id.pop(event.call_id, None)
        if call is None:
            return None
        outcome = event.outcome
        if isinstance(outcome, _outcomes.Unknown):
            self._slots.hold_slot_after_deadline(
                call.executor, call.call_id, call.deadline_boot_s
            )
            self._record_failure(call.executor, boot_s)
            return call
        self._slots.release_slot(call.executor, call.call_id)
        if isinstance(outcome, _outcomes.Completed) and outcome.status < 500:
            self._record_completion(call, event.elapsed_s, boot_s)
        elif not _has_local_cause(outcome):
            self._record_failure(call.executor, boot_s)
        return call

    def _record_completion(
        self,
        call: _urgent_request.CallExecutor,
        elapsed_s: float,
        boot_s: float,
    ) -> None:
        """Updates the service times and the ejector after a completed call."""
        self.service_times.record_call(
            class_key=(call.hop.customer, call.hop.class_name),
            executor=call.executor,
            elapsed_s=elapsed_s,
            boot_s=boot_s,
        )
        self._ejector.record_completed_call(
            call.executor,
            self.service_times.slowdown(call.executor, boot_s),
            list(self._view_by_executor),
            boot_s,
        )

    def _record_failure(self, executor: str, boot_s: float) -> None:
        """Counts a failed call of an executor towards its ejection."""
        self._ejector.record_failed_call(
            executor, list(self._view_by_executor), boot_s
        )


def _has_local_cause(outcome: _outcomes.Outcome) -> bool:
    """Whether a call was not sent for a reason on this instance."""
    if not isinstance(outcome, _outcomes.NotRun):
        return False
    return outcome.reason in {
        _outcomes.Reason.LEASE_LAPSED,
        _outcomes.Reason.DEADLINE_PASSED,
        _outcomes.Reason.OVERLOADED,
    }
