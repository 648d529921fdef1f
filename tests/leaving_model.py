"""Bounded model checker for elections of two instances that leave.

It adds to `election_model` that instances leave, request an offered term and
resign it. A request reaches the store at once or gets lost.
"""

from collections.abc import Iterator
import copy

from basiljunction.coordination.leadership import _election
from basiljunction.state.workload import _leadership
import election_model

HOLD_STEPS = 4
"""Steps for which an instance that leaves may hold a term."""

HAND_OVER_S = 0.5
"""Longest time without a scheduler in a hand-over, in seconds."""

ROUND_S = 0.05
"""Time between two ticks of prompt instances, in seconds."""


class LeavingState(election_model.ModelState):
    """One state of the search; the elections share no mutable object."""

    __slots__ = ("request",)

    request: _leadership.TermRequest | None

    def deduplication_key(self) -> tuple[object, ...]:
        """Returns the values by which two states are compared."""
        elections = []
        for each in self.elections:
            values = dict(vars(each))
            del values["_rng"], values["hand_over"], values["history"]
            values["_hand_over"] = tuple(sorted(vars(each.hand_over).items()))
            values["_history"] = tuple(each.history._seen)
            elections.append(tuple(sorted(values.items())))
        return (
            self.steps,
            self.end_offset,
            self.term,
            self.request,
            self.registered,
            self.delayed_writes,
            self.restarts,
            tuple(elections),
        )

    def copy_with_event(self, event: str) -> "LeavingState":
        """Returns an independent copy with the event added to its events."""
        other = super().copy_with_event(event)
        assert isinstance(other, LeavingState)
        for election in other.elections:
            election.hand_over = copy.copy(election.hand_over)
            election.history = copy.deepcopy(election.history)
        return other

    def apply_read(self, index: int) -> None:
        """Lets an instance read the request and the newest term."""
        if self.request is not None:
            self.elections[index].hand_over.record_request(self.request)
        super().apply_read(index)

    def send_request(self, index: int, *, is_lost: bool = False) -> None:
        """Sends the due request of an instance, if there is one."""
        request = self.elections[index].next_request(self.now_s)
        if request is None or is_lost:
            return
        if request.expected_end_offset == self.end_offset:
            self.request = request
            self.end_offset += 1


def make_initial_state() -> LeavingState:
    """Returns the state of two instances and an empty store."""
    alike = election_model.make_initial_state()
    state = LeavingState(elections=alike.elections, provisions=alike.provisions)
    state.request = None
    return state


def make_scheduled_state(leaving: str) -> LeavingState:
    """Returns the state of two of which the first one schedules.

    No term is given up and no process is lost later: the time after that is no
    hand-over.

    Args:
        leaving: Names of the instances that leave.
    """
    state = make_initial_state()
    for index in range(2):
        state.apply_read(index)
    election = state.elections[0]
    claim = election.next_term_write(state.now_s)
    assert claim is not None
    assert state.apply_write(claim, election_model.is_read_current)
    election.record_write_success(state.end_offset, state.now_s)
    state.given_up_terms = election_model.MAX_GIVEN_UP_TERMS
    state.restarts = election_model.MAX_RESTARTS
    for index, name in enumerate("ab"):
        state.apply_read(index)
        if name in leaving:
            state.elections[index].leave(HOLD_STEPS * election_model.STEP_S)
    return state


def successors(state: LeavingState) -> Iterator["LeavingState"]:
    """Yields every state that one event can lead to."""
    for each in election_model.successors(
        state, election_model.is_read_current
    ):
        assert isinstance(each, LeavingState)
        yield each
    for index, election in enumerate(state.elections):
        name = "ab"[index]
        if not election.hand_over.is_leaving:
            left = state.copy_with_event(f"{name} leaves")
            left.elections[index].leave(
                state.now_s + HOLD_STEPS * election_model.STEP_S
            )
            yield left
        if election.must_resign(state.now_s):
            resigned = state.copy_with_event(f"{name} resigns")
            resigned.elections[index].resign(1.0)
            yield resigned
        requested = state.copy_with_event(f"{name} requests")
        requested.send_request(index)
        yield requested
        lost = state.copy_with_event(f"{name} requests, lost")
        lost.send_request(index, is_lost=True)
        yield lost


def _is_scheduling(election: _election.Election) -> bool:
    """Returns whether an instance holds a term and has not stopped."""
    return election.is_leader and not election.is_resigning


class _Prompt:
    """Both instances, from a state on, with a store that answers at once."""

    def __init__(self, state: LeavingState) -> None:
        self.state = state.copy_with_event("all is prompt")
        self.now_s = state.now_s

    def run_round(self) -> None:
        """Lets each instance read and then write what is due."""
        state = self.state
        for election in state.elections:
            if state.request is not None:
                election.hand_over.record_request(state.request)
            newest = None if state.term == election.term else state.term
            election.apply_read(newest, state.end_offset, self.now_s)
            if election.must_resign(self.now_s):
                election.resign(1.0)
            request = election.next_request(self.now_s)
            if request is not None:
                state.request = request
                state.end_offset += 1
                election.apply_read(None, state.end_offset, self.now_s)
            write = election.next_term_write(self.now_s)
            if write is None:
                continue
            if state.apply_write(write, election_model.is_read_current):
                election.record_write_success(state.end_offset, self.now_s)
            else:
                election.record_write_conflict(self.now_s)
        self.now_s += ROUND_S


def find_gap(state: LeavingState) -> str:
    """Returns when nobody schedules though all is prompt; empty if never.

    Looks at states in which an instance holds a term. If one of both stays,
    there has to be a term from then on, otherwise until the first has to
    resign.
    """
    prompt = _Prompt(state)
    elections = prompt.state.elections
    if not any(_is_scheduling(each) for each in elections):
        return ""
    end_s = state.now_s + election_model.MAX_TAKEOVER_S + 2.0
    deadlines_s = [each.hand_over.resign_by_s for each in elections]
    if None not in deadlines_s:
        end_s = min(end_s, *(each for each in deadlines_s if each is not None))
    gap_since_s = state.now_s
    expiry_s = 0.0 if _has_prompt_leader(state) else _election.TERM_EXPIRY_S
    while prompt.now_s < end_s:
        prompt.run_round()
        if any(_is_scheduling(each) for each in elections):
            gap_since_s = prompt.now_s
        elif prompt.now_s - gap_since_s > HAND_OVER_S + expiry_s:
            return f"nobody schedules at {gap_since_s:.2f} s"
    return ""


def _has_prompt_leader(state: LeavingState) -> bool:
    """Returns whether the holder of the newest term knows that it holds it."""
    return state.term is not None and any(
        each.is_leader
        and each.term is not None
        and each.term.epoch == state.term.epoch
        for each in state.elections
    )
