"""Urgent cores on a fake network that loses, duplicates and delays."""

import dataclasses

from basiljunction.coordination import _events
from basiljunction.coordination import _urgent_core
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _views
from basiljunction.state import _outcomes
import builders
import fakes
import urgent_builders

INSTANCES = ("i1", "i2", "i3")
SLOTS_PER_EXECUTOR = 2
"""Slots of each executor."""

DEADLINE_S = 2.0
"""Deadline of a request, in seconds."""

LEASE_S = 1.5
"""Duration of a lease from each renewal, in seconds."""


@dataclasses.dataclass
class SentCall:
    """An instance's call that is to be sent, or that an executor runs."""

    instance: str
    call: _urgent_request.CallExecutor


@dataclasses.dataclass
class MessageInTransit:
    """A message on its way to an instance."""

    to: str
    message: object


class UrgentFleet:
    """Three instances and three executors, which a test drives by hand.

    Attributes:
        messages_in_transit: Sent messages that are not yet delivered.
        unsent_calls: Calls that have not reached their executor.
        running_calls: Calls that the executors are running.
        received_calls: Every call that reached an executor.
        appends_in_transit: Appends in transit, with author and incarnation.
        undelivered_verdicts: Verdicts that their author has not received.
        request_by_key: Requests of callers, by instance and request.
        outcomes_by_request: Outcomes, by instance and request.
        leaving_instances: Instances that are shutting down.
    """

    def __init__(self, owners: tuple[str, ...] = INSTANCES) -> None:
        """Creates three ready instances with one executor for each owner.

        Args:
            owners: Owner of each executor.
        """
        self.clock = fakes.FakeClock()
        self.log = builders.LogBuilder()
        self.messages_in_transit: list[MessageInTransit] = []
        self.unsent_calls: list[SentCall] = []
        self.running_calls: list[SentCall] = []
        self.received_calls: list[_urgent_request.CallExecutor] = []
        self.appends_in_transit: list[
            tuple[str, int, _events.AppendRecords]
        ] = []
        self.undelivered_verdicts: list[tuple[str, int, _events.Folded]] = []
        self.request_by_key: dict[
            tuple[str, str], _urgent_request.UrgentRequest
        ] = {}
        self.outcomes_by_request: dict[
            tuple[str, str], list[_outcomes.Outcome]
        ] = {}
        self.incarnation_by_instance = dict.fromkeys(INSTANCES, 1)
        self.lease_by_instance = dict.fromkeys(INSTANCES, 0.0)
        self.leaving_instances: set[str] = set()
        self.executor_by_id = {
            f"e{number}": urgent_builders.executor_view(
                f"e{number}", slots=SLOTS_PER_EXECUTOR, owner=name
            )
            for number, name in enumerate(owners, 1)
        }
        self.core_by_instance: dict[str, _urgent_core.UrgentCore] = {}
        for name in INSTANCES:
            self.restart(name)

    def handle_event(self, name: str, event: _urgent_core.UrgentEvent) -> None:
        """Passes an event to an instance, if it is running."""
        core = self.core_by_instance.get(name)
        if core is None:
            return
        for action in core.handle(event, self.clock.now()):
            self._carry_out(name, action)

    def send_request(
        self, name: str, request: _urgent_request.UrgentRequest
    ) -> None:
        """Sends a caller's request to an instance, if it is running."""
        if name not in self.core_by_instance:
            return
        self.request_by_key[(name, request.request_id)] = request
        self.handle_event(name, _urgent_request.RequestArrived(request))

    def kill(self, name: str) -> None:
        """Ends the process of an instance.

        Its unsent calls are lost; its messages and appends stay in transit.
        """
        del self.core_by_instance[name]
        for key in [key for key in self.request_by_key if key[0] == name]:
            del self.request_by_key[key]
        self.unsent_calls = [
            each for each in self.unsent_calls if each.instance != name
        ]

    def restart(self, name: str) -> None:
        """Starts a new incarnation of an instance; ends a running one."""
        if name in self.core_by_instance:
            self.kill(name)
            self._reserve_for_earlier_incarnation(name)
        self.incarnation_by_instance[name] += 1
        self.core_by_instance[name] = urgent_builders.urgent_core(name)
        self.renew(name)
        self.publish_views()

    def _reserve_for_earlier_incarnation(self, name: str) -> None:
        """Keeps executors busy until earlier calls to them have ended."""
        busy_until_s = self.clock.now().boot_s + DEADLINE_S
        for executor, view in self.executor_by_id.items():
            if view.owner == name:
                self.executor_by_id[executor] = dataclasses.replace(
                    view, epoch=view.epoch + 1, busy_until_boot_s=busy_until_s
                )

    def renew(self, name: str) -> None:
        """Renews an instance's lease and notifies the instance."""
        lease_end_s = self.clock.now().boot_s + LEASE_S
        self.lease_by_instance[name] = lease_end_s
        self.handle_event(name, _events.LeaseChanged(lease_end_s))

    def take_over(self, executor: str, name: str) -> None:
        """Moves an executor to an instance if its owner's lease has expired.

        It counts as busy until the calls of the previous owner have ended.
        """
        view = self.executor_by_id[executor]
        now_s = self.clock.now().boot_s
        lease_end_s = self.lease_by_instance[view.owner]
        if view.owner == name or now_s < lease_end_s:
            return
        self.executor_by_id[executor] = dataclasses.replace(
            view,
            owner=name,
            epoch=view.epoch + 1,
            busy_until_boot_s=now_s + DEADLINE_S,
        )
        self.publish_views()

    def publish_views(self) -> None:
        """Sends every instance its current fleet view."""
        for name in INSTANCES:
            self.handle_event(name, self.current_view(name))

    def current_view(self, name: str) -> _views.FleetView:
        """Returns the current fleet view of an instance."""
        others = [each for each in INSTANCES if each != name]
        return urgent_builders.fleet_view(
            *self.executor_by_id.values(),
            instance=name,
            incarnation=self.incarnation_by_instance[name],
            leaving=name in self.leaving_instances,
            peer_by_instance={
                each: urgent_builders.peer_view(
                    each,
                    incarnation=self.incarnation_by_instance[each],
                    leaving=each in self.leaving_instances,
                )
                for each in others
            },
        )

    def deliver_message(self, index: int = 0, *, keep: bool = False) -> None:
        """Delivers a message; with ``keep`` it can be delivered again."""
        each = self.messages_in_transit[index]
        if not keep:
            del self.messages_in_transit[index]
        self.handle_event(each.to, _events.PeerReceived(each.message))  # type: ignore[arg-type]  # only PeerMessage is put in

    def send_call(self, index: int = 0) -> None:
        """Sends a call to its executor if the deadline and lease still hold."""
        each = self.unsent_calls.pop(index)
        now_s = self.clock.now().boot_s
        if now_s >= each.call.deadline_boot_s:
            self._end_call_not_run(each, _outcomes.Reason.DEADLINE_PASSED)
        elif now_s >= self.lease_by_instance[each.instance]:
            self._end_call_not_run(each, _outcomes.Reason.LEASE_LAPSED)
        else:
            self.received_calls.append(each.call)
            self.running_calls.append(each)

    def fail_call(self, index: int = 0) -> None:
        """Fails a call before its connection is established."""
        each = self.unsent_calls.pop(index)
        self._end_call_not_run(each, _outcomes.Reason.CONNECT_FAILED)

    def finish_call(self, index: int = 0) -> None:
        """Completes a running call and delivers its answer."""
        each = self.running_calls.pop(index)
        body = each.call.hop.key.request_id.encode()
        answer = _outcomes.Completed(200, body, "", each.call.executor)
        self._end_call(each, answer)

    def lose_answer(self, index: int = 0) -> None:
        """Loses the connection of a call that the executor continues to run."""
        each = self.running_calls[index]
        lost = _outcomes.Unknown(
            _outcomes.Step.RECEIVE,
            each.call.executor,
            _outcomes.Reason.CONNECTION_LOST,
        )
        self._end_call(each, lost)

    def apply_append(self, index: int = 0) -> None:
        """Appends and folds records; their verdicts are not delivered yet."""
        name, incarnation, append = self.appends_in_transit.pop(index)
        verdicts = tuple(
            self.log.append(
                record,
                author=name,
                incarnation=incarnation,
                wall_s=self.clock.now().wall_s,
            )
            for record in append.records
        )
        self.undelivered_verdicts.append(
            (name, incarnation, _events.Folded(verdicts))
        )

    def drop_append(self, index: int = 0) -> None:
        """Drops an append and notifies its author that it had no effect."""
        name, incarnation, append = self.appends_in_transit.pop(index)
        if incarnation == self.incarnation_by_instance[name]:
            self.handle_event(name, _events.AppendDropped(append.records))

    def deliver_verdicts(self, index: int = 0) -> None:
        """Delivers the verdicts on records to their author."""
        name, incarnation, folded = self.undelivered_verdicts.pop(index)
        if incarnation == self.incarnation_by_instance[name]:
            self.handle_event(name, folded)

    def advance(self, seconds: float) -> None:
        """Advances the clock; executors end calls past their deadline."""
        now = self.clock.advance(seconds)
        self.running_calls = [
            each
            for each in self.running_calls
            if each.call.deadline_boot_s > now.boot_s
        ]
        for name in INSTANCES:
            self.handle_event(name, _events.Tick())

    def deliver_everything(self) -> None:
        """Delivers messages, appends and calls until none are left."""
        for _ in range(200):
            if self.messages_in_transit:
                self.deliver_message()
            elif self.appends_in_transit:
                self.apply_append()
            elif self.undelivered_verdicts:
                self.deliver_verdicts()
            elif self.unsent_calls:
                self.send_call()
            elif self.running_calls:
                self.finish_call()
            else:
                return

    def find_outcome(
        self, name: str, request_id: str
    ) -> _outcomes.Outcome | None:
        """Returns the outcome of a request, or None if it has none yet."""
        replies = self.outcomes_by_request.get((name, request_id))
        return replies[-1] if replies else None

    def check_invariants(self) -> None:
        """Asserts the invariants of the urgent path.

        No executor runs more calls than it has slots, each request has at most
        one outcome, which fits its calls, and each idempotency key is sent to
        an executor at most once.
        """
        for executor in self.executor_by_id:
            calls = [
                e for e in self.running_calls if e.call.executor == executor
            ]
            assert len(calls) <= SLOTS_PER_EXECUTOR, executor
        sent = {call.hop.key.request_id for call in self.received_calls}
        for (_, request_id), outcomes in self.outcomes_by_request.items():
            assert len(outcomes) == 1, (request_id, outcomes)
            (outcome,) = outcomes
            if isinstance(outcome, _outcomes.NotRun):
                assert request_id not in sent, outcome
            if isinstance(outcome, _outcomes.Completed):
                assert outcome.body == request_id.encode()
        keys = [
            call.hop.idempotency_key
            for call in self.received_calls
            if call.hop.idempotency_key
        ]
        assert len(keys) == len(set(keys))

    def _carry_out(self, name: str, action: _urgent_core.UrgentAction) -> None:
        """Puts an action of an instance's core into the matching queue."""
        match action:
            case _urgent_request.Reply(request_id=request_id):
                key = (name, request_id)
                self.outcomes_by_request.setdefault(key, []).append(
                    action.outcome
                )
            case _urgent_request.CallExecutor():
                self.unsent_calls.append(SentCall(name, action))
            case _events.SendPeer():
                self.messages_in_transit.append(
                    MessageInTransit(action.instance, action.message)
                )
            case _events.AppendRecords():
                incarnation = self.incarnation_by_instance[name]
                self.appends_in_transit.append((name, incarnation, action))
            case _:
                pass

    def _end_call_not_run(
        self, each: SentCall, reason: _outcomes.Reason
    ) -> None:
        """Delivers that a call was certainly not run, with the reason."""
        refused = _outcomes.NotRun(
            _outcomes.Step.CONNECT, each.call.executor, reason
        )
        self._end_call(each, refused)

    def _end_call(self, each: SentCall, outcome: _outcomes.Outcome) -> None:
        """Delivers the outcome of a call to its instance."""
        ended = _urgent_request.CallEnded(each.call.call_id, outcome, 0.05)
        self.handle_event(each.instance, ended)
