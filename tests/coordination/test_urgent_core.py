"""Tests of the whole urgent path with faults at every step."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.coordination import _urgent_request
from basiljunction.state import _outcomes
import urgent_builders
import urgent_fleet

_INSTANCES = st.sampled_from(urgent_fleet.INSTANCES)
_EXECUTORS = st.sampled_from(("e1", "e2", "e3"))
_INDEX = st.integers(0, 1000)


class UrgentMachine(stateful.RuleBasedStateMachine):
    """No order of faults breaks the rules on slots, outcomes and keys."""

    def __init__(self) -> None:
        """Creates a fleet."""
        super().__init__()
        self.fleet = urgent_fleet.UrgentFleet()
        self._next_id = 0

    @stateful.rule(name=_INSTANCES, count=st.integers(1, 4))
    def ask(self, name: str, count: int) -> None:
        """Submits idempotent requests to an instance."""
        for _ in range(count):
            self._next_id += 1
            request = urgent_builders.request(f"r{self._next_id}")
            self.fleet.send_request(name, request)

    @stateful.rule(name=_INSTANCES, key=st.sampled_from("abc"))
    def ask_once(self, name: str, key: str) -> None:
        """Submits a non-idempotent request with a key."""
        self._next_id += 1
        request = urgent_builders.request(
            f"r{self._next_id}", class_name="charge", idempotency_key=key
        )
        self.fleet.send_request(name, request)

    @stateful.precondition(lambda self: self.fleet.messages_in_transit)
    @stateful.rule(
        index=_INDEX, fault=st.sampled_from(("", "", "keep", "drop"))
    )
    def deliver(self, index: int, fault: str) -> None:
        """Delivers, duplicates or drops a message between instances."""
        index %= len(self.fleet.messages_in_transit)
        if fault == "drop":
            del self.fleet.messages_in_transit[index]
        else:
            self.fleet.deliver_message(index, keep=fault == "keep")

    @stateful.precondition(lambda self: self.fleet.unsent_calls)
    @stateful.rule(index=_INDEX, fails=st.booleans())
    def call(self, index: int, fails: bool) -> None:
        """Sends a call to an executor, or fails to send it."""
        index %= len(self.fleet.unsent_calls)
        if fails:
            self.fleet.fail_call(index)
        else:
            self.fleet.send_call(index)

    @stateful.precondition(lambda self: self.fleet.unsent_calls)
    @stateful.rule()
    def call_all(self) -> None:
        """Sends all waiting calls."""
        while self.fleet.unsent_calls:
            self.fleet.send_call()

    @stateful.precondition(lambda self: self.fleet.running_calls)
    @stateful.rule(index=_INDEX, loses=st.booleans())
    def answer(self, index: int, loses: bool) -> None:
        """Finishes a running call, or loses its answer."""
        index %= len(self.fleet.running_calls)
        if loses:
            self.fleet.lose_answer(index)
        else:
            self.fleet.finish_call(index)

    @stateful.precondition(lambda self: self.fleet.appends_in_transit)
    @stateful.rule(index=_INDEX, drops=st.booleans())
    def append(self, index: int, drops: bool) -> None:
        """Stores an append in the log, or drops it."""
        index %= len(self.fleet.appends_in_transit)
        if drops:
            self.fleet.drop_append(index)
        else:
            self.fleet.apply_append(index)

    @stateful.precondition(lambda self: self.fleet.undelivered_verdicts)
    @stateful.rule()
    def read_back(self) -> None:
        """Delivers the unread log entries to the instances."""
        self.fleet.deliver_verdicts()

    @stateful.rule(name=_INSTANCES)
    def renew(self, name: str) -> None:
        """Renews the lease of an instance."""
        self.fleet.renew(name)

    @stateful.rule(executor=_EXECUTORS, name=_INSTANCES)
    def take_over(self, executor: str, name: str) -> None:
        """Gives an executor to another owner."""
        self.fleet.take_over(executor, name)

    @stateful.rule(name=_INSTANCES)
    def restart(self, name: str) -> None:
        """Restarts an instance once its earlier lease has expired."""
        # The earlier incarnation is deposed first, so its lease has expired.
        if self.fleet.clock.now().boot_s < self.fleet.lease_by_instance[name]:
            self.fleet.advance(urgent_fleet.LEASE_S)
        self.fleet.restart(name)

    @stateful.rule(seconds=st.sampled_from((0.01, 0.1, 0.6, 1.5)))
    def advance(self, seconds: float) -> None:
        """Advances the time."""
        self.fleet.advance(seconds)

    @stateful.invariant()
    def holds(self) -> None:
        """Checks the invariants of the fleet."""
        self.fleet.check_invariants()

    def teardown(self) -> None:
        """Checks that each request of a live instance ends by its deadline."""
        self.fleet.advance(urgent_fleet.DEADLINE_S)
        self.fleet.check_invariants()
        for key in self.fleet.request_by_key:
            assert len(self.fleet.outcomes_by_request[key]) == 1, key


TestUrgentMachine = UrgentMachine.TestCase
TestUrgentMachine.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)


def _make_charge_request(
    request_id: str, key: str
) -> _urgent_request.UrgentRequest:
    """Returns a non-idempotent request with a key."""
    return urgent_builders.request(
        request_id, class_name="charge", idempotency_key=key
    )


def _take_forwarded_request(fleet: urgent_fleet.UrgentFleet) -> tuple[str, int]:
    """Removes a forwarded request in transit.

    Returns:
        Its owner and its attempt number.
    """
    for each in fleet.messages_in_transit:
        if isinstance(each.message, _messages.ForwardRequest):
            fleet.messages_in_transit.remove(each)
            return each.to, each.message.attempt
    raise LookupError(fleet.messages_in_transit)


def _make_remote_fleet() -> urgent_fleet.UrgentFleet:
    """Returns a fleet in which ``i2`` and ``i3`` own the executors."""
    return urgent_fleet.UrgentFleet(owners=("i2", "i3"))


class TestAnswers:
    """Each caller gets the complete answer to its own request once."""

    def test_over_one_hop(self) -> None:
        fleet = _make_remote_fleet()
        for number in range(6):
            fleet.send_request("i1", urgent_builders.request(f"r{number}"))
        fleet.messages_in_transit.reverse()
        fleet.deliver_everything()
        fleet.check_invariants()
        assert len(fleet.outcomes_by_request) == 6
        assert len(fleet.received_calls) == 6

    def test_doubled_hop_runs_once(self) -> None:
        fleet = _make_remote_fleet()
        fleet.send_request("i1", urgent_builders.request("r1"))
        fleet.deliver_message(keep=True)
        fleet.send_call()
        fleet.finish_call()
        fleet.deliver_everything()
        assert len(fleet.received_calls) == 1
        fleet.check_invariants()

    def test_request_id_that_is_used_again(self) -> None:
        fleet = _make_remote_fleet()
        fleet.send_request("i1", urgent_builders.request("r1"))
        fleet.deliver_everything()
        del fleet.outcomes_by_request[("i1", "r1")]
        fleet.send_request("i1", urgent_builders.request("r1"))
        fleet.deliver_everything()
        assert isinstance(fleet.find_outcome("i1", "r1"), _outcomes.Completed)
        assert len(fleet.received_calls) == 2

    def test_lost_reply_is_asked_for_elsewhere(self) -> None:
        fleet = _make_remote_fleet()
        fleet.send_request("i1", urgent_builders.request("r1"))
        fleet.deliver_message()
        fleet.send_call()
        fleet.finish_call()
        fleet.messages_in_transit.clear()
        fleet.advance(1.1)
        fleet.deliver_everything()
        outcome = fleet.find_outcome("i1", "r1")
        assert isinstance(outcome, _outcomes.Completed)
        assert len(fleet.received_calls) == 2


class TestNotRun:
    """NotRun is never returned if an executor may have got the request."""

    def test_lost_answer_then_no_executor(self) -> None:
        fleet = urgent_fleet.UrgentFleet(owners=("i1",))
        fleet.send_request("i1", urgent_builders.request("r1"))
        fleet.send_call()
        fleet.lose_answer()
        while fleet.unsent_calls:
            fleet.fail_call()
        assert isinstance(fleet.find_outcome("i1", "r1"), _outcomes.Unknown)

    def test_unknown_at_one_owner_then_refused_by_the_next(self) -> None:
        fleet = _make_remote_fleet()
        fleet.send_request("i1", urgent_builders.request("r1"))
        first, number = _take_forwarded_request(fleet)
        (second,) = {"i2", "i3"} - {first}
        fleet.advance(1.1)
        _, next_number = _take_forwarded_request(fleet)
        refused = _outcomes.NotRun(
            _outcomes.Step.OWNER_ADMIT, second, _outcomes.Reason.NOT_OWNER
        )
        lost = _outcomes.Unknown(
            _outcomes.Step.WAIT, "e1", _outcomes.Reason.TIMEOUT
        )
        for attempt, owner, outcome in (
            (number, first, lost),
            (next_number, second, refused),
        ):
            reply = _messages.ForwardReply("r1", owner, outcome, attempt)
            fleet.handle_event("i1", _events.PeerReceived(reply))
        assert fleet.find_outcome("i1", "r1") == lost

    def test_no_answer_from_the_owner(self) -> None:
        fleet = _make_remote_fleet()
        fleet.send_request("i1", _make_charge_request("r1", "k"))
        fleet.messages_in_transit.clear()
        fleet.advance(urgent_fleet.DEADLINE_S)
        outcome = fleet.find_outcome("i1", "r1")
        assert isinstance(outcome, _outcomes.Unknown)
        assert outcome.step is _outcomes.Step.FORWARD

    def test_lapsed_lease_starts_nothing(self) -> None:
        fleet = urgent_fleet.UrgentFleet(owners=("i1",))
        fleet.send_request("i1", urgent_builders.request("r1"))
        fleet.send_request("i1", urgent_builders.request("r2"))
        fleet.send_request("i1", urgent_builders.request("r3"))
        fleet.send_call()
        fleet.handle_event("i1", _events.LeaseChanged(fleet.clock.now().boot_s))
        fleet.finish_call()
        assert [
            each.call.hop.key.request_id for each in fleet.unsent_calls
        ] == ["r2"]
        fleet.advance(1.0)
        outcome = fleet.find_outcome("i1", "r3")
        assert isinstance(outcome, _outcomes.NotRun)
        assert outcome.reason is _outcomes.Reason.LEASE_LAPSED


class TestKeys:
    """A non-idempotent key runs at most once."""

    def test_no_call_before_the_intent_is_read_back(self) -> None:
        fleet = urgent_fleet.UrgentFleet()
        fleet.send_request("i1", _make_charge_request("r1", "k"))
        while fleet.messages_in_transit:
            fleet.deliver_message()
        assert not fleet.unsent_calls
        fleet.apply_append()
        assert not fleet.unsent_calls
        fleet.deliver_verdicts()
        assert len(fleet.unsent_calls) == 1

    def test_retry_through_another_instance_after_the_owner_died(self) -> None:
        fleet = _make_remote_fleet()
        fleet.send_request("i1", _make_charge_request("r1", "k"))
        owner = fleet.messages_in_transit[0].to
        fleet.deliver_message()
        fleet.apply_append()
        fleet.deliver_verdicts()
        fleet.send_call()
        fleet.kill(owner)
        fleet.advance(urgent_fleet.DEADLINE_S)
        assert isinstance(fleet.find_outcome("i1", "r1"), _outcomes.Unknown)
        (other,) = {"i2", "i3"} - {owner}
        fleet.renew(other)
        fleet.take_over("e1", other)
        fleet.take_over("e2", other)
        fleet.send_request(other, _make_charge_request("r2", "k"))
        fleet.deliver_everything()
        outcome = fleet.find_outcome(other, "r2")
        assert isinstance(outcome, _outcomes.NotRun)
        assert outcome.reason is _outcomes.Reason.KEY_IN_USE
        assert len(fleet.received_calls) == 1

    def test_known_end_is_told(self) -> None:
        fleet = urgent_fleet.UrgentFleet(owners=("i1",))
        fleet.send_request("i1", _make_charge_request("r1", "k"))
        fleet.deliver_everything()
        fleet.send_request("i1", _make_charge_request("r2", "k"))
        outcome = fleet.find_outcome("i1", "r2")
        assert isinstance(outcome, _outcomes.NotRun)
        assert "completed with status 200" in outcome.detail

    def test_lost_answer_is_not_retried(self) -> None:
        fleet = urgent_fleet.UrgentFleet(owners=("i1", "i1"))
        fleet.send_request("i1", _make_charge_request("r1", "k"))
        fleet.apply_append()
        fleet.deliver_verdicts()
        fleet.send_call()
        fleet.lose_answer()
        assert not fleet.unsent_calls
        assert isinstance(fleet.find_outcome("i1", "r1"), _outcomes.Unknown)

    def test_log_outage_ends_not_run_and_frees_the_key_later(self) -> None:
        fleet = urgent_fleet.UrgentFleet(owners=("i1",))
        fleet.send_request("i1", _make_charge_request("r1", "k"))
        fleet.advance(1.0)
        assert fleet.find_outcome("i1", "r1") is None
        fleet.advance(1.0)
        outcome = fleet.find_outcome("i1", "r1")
        assert isinstance(outcome, _outcomes.NotRun)
        assert outcome.reason is _outcomes.Reason.LOG_UNAVAILABLE
        fleet.deliver_everything()
        assert not fleet.received_calls
        fleet.renew("i1")
        fleet.send_request("i1", _make_charge_request("r2", "k"))
        fleet.deliver_everything()
        assert isinstance(fleet.find_outcome("i1", "r2"), _outcomes.Completed)

    def test_owner_that_opened_an_intent_is_the_only_one_asked(self) -> None:
        fleet = _make_remote_fleet()
        fleet.send_request("i1", _make_charge_request("r1", "k"))
        owner, number = _take_forwarded_request(fleet)
        refused = _outcomes.NotRun(
            _outcomes.Step.SEND, owner, _outcomes.Reason.LEASE_LAPSED
        )
        reply = _messages.ForwardReply("r1", owner, refused, number)
        fleet.handle_event("i1", _events.PeerReceived(reply))
        assert not fleet.messages_in_transit
        assert fleet.find_outcome("i1", "r1") == refused

    def test_owner_that_is_gone_may_still_answer(self) -> None:
        fleet = _make_remote_fleet()
        fleet.send_request("i1", _make_charge_request("r1", "k"))
        owner = fleet.messages_in_transit.pop().to
        fleet.restart(owner)
        assert not fleet.messages_in_transit
        assert fleet.find_outcome("i1", "r1") is None


class TestLeaving:
    """A leaving instance finishes its requests but accepts no new ones."""

    @pytest.mark.parametrize(
        ("after_s", "kind"),
        [(0.5, _outcomes.Completed), (2.0, _outcomes.NotRun)],
    )
    def test_new_request(self, after_s: float, kind: type) -> None:
        fleet = urgent_fleet.UrgentFleet()
        fleet.leaving_instances.add("i1")
        fleet.publish_views()
        fleet.advance(after_s)
        for name in urgent_fleet.INSTANCES:
            fleet.renew(name)
        fleet.send_request("i1", urgent_builders.request("r1"))
        fleet.deliver_everything()
        assert isinstance(fleet.find_outcome("i1", "r1"), kind)

    def test_request_in_flight(self) -> None:
        fleet = urgent_fleet.UrgentFleet(owners=("i1",))
        fleet.send_request("i1", urgent_builders.request("r1"))
        fleet.send_call()
        fleet.leaving_instances.add("i1")
        fleet.publish_views()
        fleet.advance(1.8)
        fleet.finish_call()
        assert isinstance(fleet.find_outcome("i1", "r1"), _outcomes.Completed)
