"""Owner half of the urgent path: queues hops and calls executors.

The owner is the instance to which executors are assigned. It starts calls only
while it holds the lease.
"""

import collections
import random

from basiljunction.coordination import _admission
from basiljunction.coordination import _events
from basiljunction.coordination import _executor_choice
from basiljunction.coordination import _executor_fleet
from basiljunction.coordination import _fair_queue
from basiljunction.coordination import _intents
from basiljunction.coordination import _retry
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _urgent_run
from basiljunction.coordination import _views
from basiljunction.state import _contract
from basiljunction.state import _outcomes
from basiljunction.state import _time

MAX_QUEUED_HOPS = 2_000
"""Hops that may wait for a slot; more are refused as OVERLOADED."""

MAX_RECENT_HOP_KEYS = 20_000
"""Number of hop keys remembered to ignore duplicate forwards."""

LEASE_GRACE_S = 0.3
"""Queued hops are kept this long after the lease expired, in seconds, so that a
short gap in the lease does not end them."""

CALL_OVERRUN_LIMIT_S = 1.0
"""A call that has not ended this long after its deadline is abandoned with an
unknown outcome, in seconds."""


class OwnerCore:
    """Queues hops and runs them on the executors that this instance owns.

    Methods return actions and ``HopEnded`` items, which ``UrgentCore``
    delivers. A non-idempotent hop is queued only once its intent (a log record
    that claims its idempotency key) has been read back from the log as
    accepted.

    Args:
        instance: Id of this instance.
        chooser: Load balancing policy among executors.
        source: Source of randomness.
    """

    def __init__(
        self,
        *,
        instance: str,
        chooser: _executor_choice.Chooser,
        source: random.Random,
    ) -> None:
        self._instance = instance
        self._lease_expiry_boot_s = float("-inf")
        self._contract_by_customer: dict[str, _contract.Contract] = {}
        self._fleet = _executor_fleet.ExecutorFleet(
            chooser=chooser, source=source
        )
        self._queue = _fair_queue.FairQueue()
        self._budgets = _retry.RetryBudgets()
        self._intents = _intents.IntentTracker(instance)
        self._run_by_key: dict[_urgent_request.HopKey, _urgent_run.HopRun] = {}
        self._recent_hop_keys: collections.OrderedDict[
            _urgent_request.HopKey, None
        ] = collections.OrderedDict()

    @property
    def in_flight(self) -> int:
        """Number of accepted hops that have not ended."""
        return len(self._run_by_key)

    @property
    def queued_hops(self) -> int:
        """Number of hops that wait for a slot."""
        return len(self._queue)

    def free_slots(self, now: _time.Now) -> int:
        """Returns the number of executor slots that could be taken now."""
        return self._fleet.free_slots(now.boot_s)

    def slots_in_use_on_leaving(self, boot_s: float) -> dict[str, int]:
        """Returns the slots in use on owned, leaving executors, by executor."""
        return self._fleet.slots_in_use_on_leaving(boot_s)

    def expected_wait_s(self, now: _time.Now) -> float:
        """Returns the expected queueing time of a new customer's request."""
        return self._estimate_wait_s("", 1.0, now)

    def set_lease_expiry(self, until_boot_s: float) -> None:
        """Sets the time until which this instance holds the lease."""
        self._lease_expiry_boot_s = until_boot_s

    def update_view(
        self, view: _views.FleetView, now: _time.Now
    ) -> list[object]:
        """Applies a new fleet view; starts queued hops if slots are free."""
        self._contract_by_customer = view.contract_by_customer
        self._intents.add_incarnation(view.incarnation)
        class_keys = {
            (customer, name)
            for customer, contract in view.contract_by_customer.items()
            for name in contract.class_by_name
        }
        self._fleet.update_view(view, class_keys, now.boot_s)
        self._budgets.retain_classes(class_keys)
        return self._start_queued_hops(now)

    def accept_hop(
        self, hop: _urgent_request.Hop, now: _time.Now
    ) -> list[object]:
        """Queues a hop, opens its intent, or refuses it; ignores duplicates.

        Returns:
            Actions, and the end of the hop if it is refused.
        """
        if hop.key in self._run_by_key or hop.key in self._recent_hop_keys:
            return []
        self._remember_hop_key(hop.key)
        work_class = self._check_admission(hop, now)
        if isinstance(work_class, _outcomes.NotRun):
            return [
                _urgent_run.build_hop_ended(self._instance, hop, work_class)
            ]
        run = _urgent_run.HopRun(
            hop=hop,
            work_class=work_class,
            weight=self._contract_by_customer[hop.customer].weight,
            phase=_urgent_run.HopPhase.QUEUED,
        )
        self._budgets.credit_first_attempt(
            run.class_key, work_class.retry_budget
        )
        if not work_class.idempotent:
            return self._open_intent(run, now)
        self._run_by_key[hop.key] = run
        self._enqueue(run)
        return self._start_queued_hops(now)

    def handle_call_ended(
        self, event: _urgent_request.CallEnded, now: _time.Now
    ) -> list[object]:
        """Ends or requeues the hop of an ended call; starts queued hops."""
        call = self._fleet.end_call(event, now.boot_s)
        if call is None:
            return []
        run = self._run_by_key.get(call.hop.key)
        actions: list[object] = []
        if run is not None and run.call_id == event.call_id:
            actions += self._handle_call_outcome(run, event.outcome, now)
        return actions + self._start_queued_hops(now)

    def handle_intent_verdicts(
        self, event: _events.Folded, now: _time.Now
    ) -> list[object]:
        """Queues or ends hops whose intents were read back from the log."""
        actions: list[object] = []
        for verdict in event.verdicts:
            settled = self._intents.settle_by_verdict(verdict)
            if isinstance(settled, _events.AppendRecords):
                actions.append(settled)
            elif settled is not None:
                actions += self._handle_intent_settled(settled)
        return actions + self._start_queued_hops(now)

    def handle_append_dropped(
        self, event: _events.AppendDropped
    ) -> list[object]:
        """Ends hops whose intents were certainly not appended to the log."""
        actions: list[object] = []
        for record in event.records:
            refused = self._intents.settle_dropped_record(record)
            if refused is not None:
                actions += self._handle_intent_settled(refused)
        return actions

    def end_expired_and_start(self, now: _time.Now) -> list[object]:
        """Ends hops that can't meet their deadline; starts queued hops."""
        actions: list[object] = []
        for run in list(self._run_by_key.values()):
            actions += self._end_if_expired(run, now)
        return actions + self._start_queued_hops(now)

    def _check_admission(
        self, hop: _urgent_request.Hop, now: _time.Now
    ) -> _contract.WorkClass | _outcomes.NotRun:
        """Returns the work class of an admissible hop, or its refusal."""
        contract = self._contract_by_customer.get(hop.customer)
        if contract is None or hop.class_name not in contract.class_by_name:
            return self._build_refusal(_outcomes.Reason.NOT_READY, 1.0)
        if not self._fleet.total_slots:
            return self._build_refusal(_outcomes.Reason.NOT_OWNER, 0.5)
        if now.boot_s >= self._lease_expiry_boot_s:
            return self._build_refusal(_outcomes.Reason.LEASE_LAPSED, 1.0)
        wait_s = self._estimate_wait_s(hop.customer, contract.weight, now)
        if len(self._queue) >= MAX_QUEUED_HOPS:
            return self._build_refusal(_outcomes.Reason.OVERLOADED, wait_s)
        class_key = (hop.customer, hop.class_name)
        service_s = self._min_remaining_s(class_key)
        retry_after_s = _admission.estimate_retry_after_s(
            wait_s=wait_s,
            service_s=service_s,
            remaining_s=hop.deadline_boot_s - now.boot_s,
        )
        if retry_after_s != 0:
            return self._build_refusal(
                _outcomes.Reason.DEADLINE_UNREACHABLE,
                retry_after_s,
                f"expected wait {wait_s:.3f} s, service {service_s:.3f} s",
            )
        return contract.class_by_name[hop.class_name]

    def _estimate_wait_s(
        self, customer: str, weight: float, now: _time.Now
    ) -> float:
        """Returns the expected wait for a slot, in seconds.

        Args:
            customer: Customer of the request; empty for a new one.
            weight: The customer's weight in fair queueing.
            now: Current time.
        """
        if not len(self._queue):
            return 0.0
        slots = self._fleet.total_slots
        if not slots or self.free_slots(now) > len(self._queue):
            return 0.0
        return self._queue.estimate_work_ahead_s(customer, weight) / slots

    def _open_intent(
        self, run: _urgent_run.HopRun, now: _time.Now
    ) -> list[object]:
        """Appends a hop's intent to the log, or refuses its idempotency key."""
        opened = self._intents.open_intent(run.hop, now)
        if not isinstance(opened, _events.AppendRecords):
            refused = _urgent_run.build_key_refusal(
                self._instance,
                opened,
                self._intents.describe_earlier_request(run.hop),
            )
            return [
                _urgent_run.build_hop_ended(self._instance, run.hop, refused)
            ]
        run.phase = _urgent_run.HopPhase.INTENT
        self._run_by_key[run.hop.key] = run
        return [opened]

    def _handle_intent_settled(
        self, settled: _intents.IntentAccepted | _intents.IntentRefused
    ) -> list[object]:
        """Queues a hop whose intent was accepted; ends it if refused."""
        run = self._run_by_key.get(settled.hop)
        if run is None or run.phase is not _urgent_run.HopPhase.INTENT:
            return []
        if isinstance(settled, _intents.IntentRefused):
            refused = _urgent_run.build_key_refusal(
                self._instance,
                settled.reason,
                self._intents.describe_earlier_request(run.hop),
            )
            return self._end_run(run, refused)
        run.has_intent = True
        run.phase = _urgent_run.HopPhase.QUEUED
        self._enqueue(run)
        return []

    def _enqueue(self, run: _urgent_run.HopRun) -> None:
        """Puts a hop into the fair queue; its cost is the mean service time."""
        run.phase = _urgent_run.HopPhase.QUEUED
        queued = _fair_queue.QueuedHop(
            key=run.hop.key,
            customer=run.hop.customer,
            weight=run.weight,
            priority=run.work_class.priority,
            deadline_boot_s=run.hop.deadline_boot_s,
            cost_s=self._fleet.service_times.mean_service_s(run.class_key),
        )
        self._queue.push(queued)

    def _start_queued_hops(self, now: _time.Now) -> list[object]:
        """Starts queued hops while slots are free and the lease is held."""
        actions: list[object] = []
        while len(self._queue) and now.boot_s < self._lease_expiry_boot_s:
            candidates = self._fleet.list_candidates(now.boot_s)
            if not candidates:
                break
            queued = self._queue.pop()
            if queued is None:
                break
            run = self._run_by_key[queued.key]
            if self._cannot_meet_deadline(run, now):
                actions += self._end_run(
                    run,
                    self._deadline_refusal(run, now),
                )
                continue
            call = self._fleet.start_call(
                run.hop, candidates, run.called_executors, now.boot_s
            )
            run.record_call(call)
            actions.append(call)
        return actions

    def _handle_call_outcome(
        self,
        run: _urgent_run.HopRun,
        outcome: _outcomes.Outcome,
        now: _time.Now,
    ) -> list[object]:
        """Ends a hop after a call, or queues it for another call.

        A non-idempotent hop with an unknown outcome is never called again.
        """
        if isinstance(outcome, _outcomes.Completed):
            return self._end_run(run, outcome)
        if isinstance(outcome, _outcomes.Unknown):
            run.unknown_outcome = outcome
            if not run.work_class.idempotent:
                return self._end_run(run, outcome)
        if not self._claim_retry(run, outcome, now):
            return self._end_run(run, outcome)
        self._enqueue(run)
        return []

    def _claim_retry(
        self,
        run: _urgent_run.HopRun,
        outcome: _outcomes.Outcome,
        now: _time.Now,
    ) -> bool:
        """Returns whether a hop may be called again; spends a retry if so."""
        if (
            isinstance(outcome, _outcomes.NotRun)
            and outcome.reason is _outcomes.Reason.LEASE_LAPSED
        ):
            return False
        if run.call_count >= _retry.MAX_TRIES or self._cannot_meet_deadline(
            run, now
        ):
            return False
        return self._budgets.try_spend_retry(run.class_key)

    def _end_if_expired(
        self, run: _urgent_run.HopRun, now: _time.Now
    ) -> list[object]:
        """Ends a hop that can't be completed any more in its phase."""
        left_s = run.hop.deadline_boot_s - now.boot_s
        if run.phase is _urgent_run.HopPhase.CALLING:
            if left_s > -CALL_OVERRUN_LIMIT_S:
                return []
            return self._end_run(run, self._lost_call_outcome(run))
        if run.phase is _urgent_run.HopPhase.INTENT:
            return (
                []
                if left_s > 0
                else self._end_run(
                    run, _urgent_run.build_intent_timeout(self._instance)
                )
            )
        refused = self._find_queue_refusal(run, now)
        return [] if refused is None else self._end_run(run, refused)

    def _find_queue_refusal(
        self, run: _urgent_run.HopRun, now: _time.Now
    ) -> _outcomes.NotRun | None:
        """Returns why a queued hop can no longer run, or None if it can."""
        if not self._fleet.total_slots:
            return self._build_refusal(_outcomes.Reason.NOT_OWNER, 0.5)
        if now.boot_s >= self._lease_expiry_boot_s + LEASE_GRACE_S:
            return self._build_refusal(_outcomes.Reason.LEASE_LAPSED, 1.0)
        if self._cannot_meet_deadline(run, now):
            return self._deadline_refusal(run, now)
        return None

    def _lost_call_outcome(self, run: _urgent_run.HopRun) -> _outcomes.Unknown:
        """Returns the Unknown outcome of a call that never ended."""
        return _outcomes.Unknown(
            _outcomes.Step.WAIT,
            self._fleet.executor_of(run.call_id),
            _outcomes.Reason.TIMEOUT,
        )

    def _cannot_meet_deadline(
        self, run: _urgent_run.HopRun, now: _time.Now
    ) -> bool:
        """Whether less time is left than a call of the hop needs."""
        left_s = run.hop.deadline_boot_s - now.boot_s
        return left_s <= 0 or left_s < self._min_remaining_s(run.class_key)

    def _min_remaining_s(self, class_key: tuple[str, str]) -> float:
        """Returns the remaining time below which a hop is not started.

        While other hops wait, a slot goes to a hop that will probably meet its
        deadline; if none wait, to one that possibly will. 0 until enough
        service times are known.
        """
        service_times = self._fleet.service_times
        if not service_times.has_enough_samples(class_key):
            return 0.0
        if len(self._queue):
            return service_times.upper_service_s(class_key)
        return service_times.mean_service_s(class_key) / 2

    def _end_run(
        self, run: _urgent_run.HopRun, outcome: _outcomes.Outcome
    ) -> list[object]:
        """Ends a hop and returns its outcome.

        NotRun becomes Unknown if an earlier call may have run.
        """
        hop = run.hop
        del self._run_by_key[hop.key]
        self._queue.remove(hop.key)
        if isinstance(outcome, _outcomes.NotRun) and run.unknown_outcome:
            outcome = run.unknown_outcome
        actions: list[object] = []
        if not run.work_class.idempotent:
            actions += self._end_intent(run, outcome)
        actions.append(
            _urgent_run.build_hop_ended(self._instance, hop, outcome)
        )
        return actions

    def _end_intent(
        self, run: _urgent_run.HopRun, outcome: _outcomes.Outcome
    ) -> list[object]:
        """Settles the intent of a non-idempotent hop that ends.

        The intent is released if the hop did not run, so that its key can be
        used again; otherwise the outcome is kept for requests that reuse the
        key.
        """
        if not run.has_intent:
            self._intents.abandon_intent(run.hop)
            return []
        if isinstance(outcome, _outcomes.NotRun):
            return [self._intents.release_key(run.hop)]
        if isinstance(outcome, _outcomes.Completed):
            end = f"completed with status {outcome.status}"
        else:
            end = "may or may not have run"
        self._intents.remember_end(
            run.hop, f"the earlier request with this key {end}"
        )
        return []

    def _deadline_refusal(
        self, run: _urgent_run.HopRun, now: _time.Now
    ) -> _outcomes.NotRun:
        """Returns NotRun with the queue's state as details for the caller."""
        free = self._fleet.free_slots(now.boot_s)
        return _urgent_run.build_deadline_refusal(
            self._instance,
            self.expected_wait_s(now),
            f"no slot free before the deadline: {free} of "
            f"{self._fleet.total_slots} free, "
            f"{len(self._queue)} queued, {run.call_count} calls made, "
            f"lease expires in {self._lease_expiry_boot_s - now.boot_s:.2f} s",
        )

    def _build_refusal(
        self,
        reason: _outcomes.Reason,
        retry_after_s: float | None,
        detail: str = "",
    ) -> _outcomes.NotRun:
        """Returns a NotRun outcome of this owner's admission."""
        return _urgent_run.build_admission_refusal(
            self._instance, reason, retry_after_s, detail
        )

    def _remember_hop_key(self, key: _urgent_request.HopKey) -> None:
        """Remembers a hop key against duplicates; drops the oldest ones."""
        self._recent_hop_keys[key] = None
        while len(self._recent_hop_keys) > MAX_RECENT_HOP_KEYS:
            self._recent_hop_keys.popitem(last=False)
