"""Decides which cells of the fault matrix cannot happen, and why."""

from basiljunction.state import _outcomes
from faults import injection
from faults import steps

Fault = injection.Fault
Step = _outcomes.Step

PEER_FAULTS = frozenset(
    {
        Fault.PEER_REFUSES,
        Fault.PEER_HANGS,
        Fault.PEER_DIES,
        Fault.PEER_FAILS,
    }
)
"""Faults of the executor, worker or instance that a step calls."""

_EXECUTOR_STEPS = frozenset({Step.CONNECT, Step.SEND, Step.WAIT})
_WORKER_STEPS = frozenset(
    {
        Step.START,
        Step.RENEW,
        Step.USAGE_REPORT,
        Step.THROTTLE,
        Step.CHECKPOINT,
        Step.STOP,
        Step.RESUME,
    }
)
_INSTANCE_STEPS = frozenset({Step.FORWARD, Step.RETURN, Step.VOUCH})
_LOCAL_STEPS = frozenset({Step.ADMIT, Step.OWNER_ADMIT})


def impossibility_reason(step: _outcomes.Step, fault: injection.Fault) -> str:
    """Returns why a fault cannot happen at a step; empty if it can."""
    if fault in PEER_FAULTS:
        return _peer_fault_reason(step, fault)
    if fault in injection.MESSAGE_FAULTS or fault is Fault.SECOND_ACTOR:
        return _message_fault_reason(step, fault)
    return ""


def _peer_fault_reason(step: _outcomes.Step, fault: injection.Fault) -> str:
    """Returns why the peer of a step cannot fail so; empty if it can."""
    if step in _EXECUTOR_STEPS or step in _WORKER_STEPS:
        return ""
    if step is Step.RECEIVE:
        return "the answer is there: the peer's fault came at wait"
    if step not in _INSTANCE_STEPS:
        return "its peer is the log, a caller or itself: see their columns"
    if fault in (Fault.PEER_DIES, Fault.PEER_HANGS):
        return ""
    return "an instance that refuses or fails answers so: see return"


def _message_fault_reason(step: _outcomes.Step, fault: injection.Fault) -> str:
    """Returns why a step's message cannot fail so; empty if it can."""
    if step in _LOCAL_STEPS and step is Step.ADMIT:
        return "decided within one process: no message"
    if step is Step.OWNER_ADMIT and fault not in (
        Fault.LOST,
        Fault.DOUBLED,
        Fault.SECOND_ACTOR,
    ):
        return "the message has arrived: see forward"
    if step is Step.ACCEPT and fault in (
        Fault.DELAYED,
        Fault.REORDERED,
        Fault.ANSWER_LOST,
    ):
        return "the caller's own delay: nothing is held for it yet"
    if step in (Step.CONNECT, Step.SEND, Step.WAIT, Step.RECEIVE):
        return _connection_fault_reason(step, fault)
    if step is Step.ANSWER and fault in (
        Fault.DOUBLED,
        Fault.DELAYED,
        Fault.REORDERED,
        Fault.SECOND_ACTOR,
    ):
        return "one answer on the caller's own connection, in order"
    return ""


def _connection_fault_reason(
    step: _outcomes.Step, fault: injection.Fault
) -> str:
    """Returns why an executor connection cannot fail so; empty if it can."""
    if fault is Fault.SECOND_ACTOR:
        return "an executor has one owner: see pause and take over"
    if fault is Fault.REORDERED:
        return "one request at a time on a connection"
    if fault is Fault.DOUBLED and step is not Step.RECEIVE:
        return "TCP delivers bytes once"
    return ""


def list_possible_cells() -> list[tuple[_outcomes.Step, injection.Fault]]:
    """Returns every possible cell (step and fault), in matrix order."""
    return [
        (step, fault)
        for step in steps.ALL_STEPS
        for fault in Fault
        if not impossibility_reason(step, fault)
    ]
