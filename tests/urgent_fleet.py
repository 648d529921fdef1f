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
SLOTS = 2
"""Slots of each executor."""

DEADLINE_S = 2.0
"""Deadline of a request, in seconds."""

LEASE_S = 1.5
"""Duration of a lease from each renewal, in seconds."""


@dataclasses.dataclass
class Running:
    """An instance's call that is to be sent, or that an executor runs."""

    instance: str
    call: _urgent_request.CallExecutor


@dataclasses.dataclass
class InTransit:
    """A message on its way to an instance."""

    to: str
    message: object


class UrgentFleet:
    """Three instances and three executors, which a test drives by hand.

    Attributes:
        transit: Sent messages that are not yet delivered.
        unsent: Calls that have not reached their executor.
        running: Calls that the executors are running.
        journal: Every call that reached an executor.
        appends: Appends in transit, with author and incarnation.
        unread: Verdicts that their author has not received.
        asked: Requests of callers, by instance and request.
        replies: Outcomes, by instance and request.
        leaving: Instances that are shutting down.
    """

    def __init__(self, owners: tuple[str, ...] = INSTANCES) -> None:
        """Creates three ready instances with one executor for each owner.

        Args:
            owners: Owner of each executor.
        """
        self.clock = fakes.FakeClock()
        self.log = builders.LogBuilder()
        self.transit: list[InTransit] = []
        self.unsent: list[Running] = []
        self.running: list[Running] = []
        self.journal: list[_urgent_request.CallExecutor] = []
        self.appends: list[tuple[str, int, _events.AppendRecords]] = []
        self.unread: list[tuple[str, int, _events.Folded]] = []
        self.asked: dict[tuple[str, str], _urgent_request.UrgentRequest] = {}
        self.replies: dict[tuple[str, str], list[_outcomes.Outcome]] = {}
        self.incarnation_by_instance = dict.fromkeys(INSTANCES, 1)
        self.lease_by_instance = dict.fromkeys(INSTANCES, 0.0)
        self.leaving: set[str] = set()
        self.executor_by_id = {
            f"e{number}": urgent_builders.executor(
                f"e{number}", slots=SLOTS, owner=name
            )
            for number, name in enumerate(owners, 1)
        }
        self.core_by_instance: dict[str, _urgent_core.UrgentCore] = {}
        for name in INSTANCES:
            self.restart(name)

    def tell(self, name: str, event: _urgent_core.Event) -> None:
        """Passes an event to an instance, if it is running."""
        core = self.core_by_instance.get(name)
        if core is None:
            return
        for action in core.handle(event, self.clock.now()):
            self._carry_out(name, action)

    def ask(self, name: str, request: _urgent_request.UrgentRequest) -> None:
        """Sends a caller's request to an instance, if it is running."""
        if name not in self.core_by_instance:
            return
        self.asked[(name, request.request_id)] = request
        self.tell(name, _urgent_request.RequestArrived(request))

    def kill(self, name: str) -> None:
        """Ends the process of an instance.

        Its unsent calls are lost; its messages and appends stay in transit.
        """
        del self.core_by_instance[name]
        for key in [key for key in self.asked if key[0] == name]:
            del self.asked[key]
        self.unsent = [each for each in self.unsent if each.instance != name]

    def restart(self, name: str) -> None:
        """Starts a new incarnation of an instance; ends a running one."""
        if name in self.core_by_instance:
            self.kill(name)
            self._reserve_for_earlier_incarnation(name)
        self.incarnation_by_instance[name] += 1
        self.core_by_instance[name] = urgent_builders.core(name)
        self.renew(name)
        self.publish()

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
        self.tell(name, _events.LeaseChanged(lease_end_s))

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
        self.publish()

    def publish(self) -> None:
        """Sends every instance its current fleet view."""
        for name in INSTANCES:
            self.tell(name, self.view(name))

    def view(self, name: str) -> _views.FleetView:
        """Returns the current fleet view of an instance."""
        others = [each for each in INSTANCES if each != name]
        return urgent_builders.view(
            *self.executor_by_id.values(),
            instance=name,
            incarnation=self.incarnation_by_instance[name],
            leaving=name in self.leaving,
            peer_by_instance={
                each: urgent_builders.peer(
                    each,
                    incarnation=self.incarnation_by_instance[each],
                    leaving=each in self.leaving,
                )
                for each in others
            },
        )

    def deliver(self, index: int = 0, *, keep: bool = False) -> None:
        """Delivers a message; with ``keep`` it can be delivered again."""
        each = self.transit[index]
        if not keep:
            del self.transit[index]
        self.tell(each.to, _events.PeerReceived(each.message))  # type: ignore[arg-type]  # only PeerMessage is put in

    def send_call(self, index: int = 0) -> None:
        """Sends a call to its executor if the deadline and lease still hold."""
        each = self.unsent.pop(index)
        now_s = self.clock.now().boot_s
        if now_s >= each.call.deadline_boot_s:
            self._end_call_not_run(each, _outcomes.Reason.DEADLINE_PASSED)
        elif now_s >= self.lease_by_instance[each.instance]:
            self._end_call_not_run(each, _outcomes.Reason.LEASE_LAPSED)
        else:
            self.journal.append(each.call)
            self.running.append(each)

    def fail_call(self, index: int = 0) -> None:
        """Fails a call before its connection is established."""
        each = self.unsent.pop(index)
        self._end_call_not_run(each, _outcomes.Reason.CONNECT_FAILED)

    def finish_call(self, index: int = 0) -> None:
        """Completes a running call and delivers its answer."""
        each = self.running.pop(index)
        body = each.call.hop.key.request_id.encode()
        answer = _outcomes.Completed(200, body, "", each.call.executor)
        self._end_call(each, answer)

    def lose_answer(self, index: int = 0) -> None:
        """Loses the connection of a call that the executor continues to run."""
        each = self.running[index]
        lost = _outcomes.Unknown(
            _outcomes.Step.RECEIVE,
            each.call.executor,
            _outcomes.Reason.CONNECTION_LOST,
        )
        self._end_call(each, lost)

    def land_append(self, index: int = 0) -> None:
        """Appends and folds records; their verdicts are not delivered yet."""
        name, incarnation, append = self.appends.pop(index)
        verdicts = tuple(
            self.log.append(
                record,
                author=name,
                incarnation=incarnation,
                wall_s=self.clock.now().wall_s,
            )
            for record in append.records
        )
        self.unread.append((name, incarnation, _events.Folded(verdicts)))

    def drop_append(self, index: int = 0) -> None:
        """Drops an append and notifies its author that it had no effect."""
        name, incarnation, append = self.appends.pop(index)
        if incarnation == self.incarnation_by_instance[name]:
            self.tell(name, _events.AppendDropped(append.records))

    def read_back(self, index: int = 0) -> None:
        """Delivers the verdicts on records to their author."""
        name, incarnation, folded = self.unread.pop(index)
        if incarnation == self.incarnation_by_instance[name]:
            self.tell(name, folded)

    def advance(self, seconds: float) -> None:
        """Advances the clock; executors end calls past their deadline."""
        now = self.clock.advance(seconds)
        self.running = [
            each
            for each in self.running
            if each.call.deadline_boot_s > now.boot_s
        ]
        for name in INSTANCES:
            self.tell(name, _events.Tick())

    def settle(self) -> None:
        """Delivers messages, appends and calls until none are left."""
        for _ in range(200):
            if self.transit:
                self.deliver()
            elif self.appends:
                self.land_append()
            elif self.unread:
                self.read_back()
            elif self.unsent:
                self.send_call()
            elif self.running:
                self.finish_call()
            else:
                return

    def outcome(self, name: str, request_id: str) -> _outcomes.Outcome | None:
        """Returns the outcome of a request, or None if it has none yet."""
        replies = self.replies.get((name, request_id))
        return replies[-1] if replies else None

    def check(self) -> None:
        """Asserts the invariants of the urgent path.

        No executor runs more calls than it has slots, each request has at most
        one outcome, which fits its calls, and each idempotency key is sent to
        an executor at most once.
        """
        for executor in self.executor_by_id:
            calls = [e for e in self.running if e.call.executor == executor]
            assert len(calls) <= SLOTS, executor
        sent = {call.hop.key.request_id for call in self.journal}
        for (_, request_id), outcomes in self.replies.items():
            assert len(outcomes) == 1, (request_id, outcomes)
            (outcome,) = outcomes
            if isinstance(outcome, _outcomes.NotRun):
                assert request_id not in sent, outcome
            if isinstance(outcome, _outcomes.Completed):
                assert outcome.body == request_id.encode()
        keys = [
            call.hop.idempotency_key
            for call in self.journal
            if call.hop.idempotency_key
        ]
        assert len(keys) == len(set(keys))

    def _carry_out(self, name: str, action: _urgent_core.Action) -> None:
        """Puts an action of an instance's core into the matching queue."""
        match action:
            case _urgent_request.Reply(request_id=request_id):
                key = (name, request_id)
                self.replies.setdefault(key, []).append(action.outcome)
            case _urgent_request.CallExecutor():
                self.unsent.append(Running(name, action))
            case _events.SendPeer():
                self.transit.append(InTransit(action.instance, action.message))
            case _events.AppendRecords():
                incarnation = self.incarnation_by_instance[name]
                self.appends.append((name, incarnation, action))
            case _:
                pass

    def _end_call_not_run(
        self, each: Running, reason: _outcomes.Reason
    ) -> None:
        """Delivers that a call was certainly not run, with the reason."""
        refused = _outcomes.NotRun(
            _outcomes.Step.CONNECT, each.call.executor, reason
        )
        self._end_call(each, refused)

    def _end_call(self, each: Running, outcome: _outcomes.Outcome) -> None:
        """Delivers the outcome of a call to its instance."""
        ended = _urgent_request.CallEnded(each.call.call_id, outcome, 0.05)
        self.tell(each.instance, ended)
