"""Steps of the urgent, batch and control paths, and their messages."""

from basiljunction.coordination import _batch_events
from basiljunction.coordination import _messages
from basiljunction.state import _outcomes
from basiljunction.state import _records

Step = _outcomes.Step

URGENT_STEPS = (
    Step.ACCEPT,
    Step.ADMIT,
    Step.INTENT_APPEND,
    Step.INTENT_READ_BACK,
    Step.FORWARD,
    Step.OWNER_ADMIT,
    Step.CONNECT,
    Step.SEND,
    Step.WAIT,
    Step.RECEIVE,
    Step.RETURN,
    Step.ANSWER,
)
"""Steps of an urgent request, from its acceptance to its answer."""

BATCH_STEPS = (
    Step.SUBMIT_APPEND,
    Step.SUBMIT_READ_BACK,
    Step.CLAIM_APPEND,
    Step.CLAIM_READ_BACK,
    Step.START,
    Step.RENEW,
    Step.USAGE_REPORT,
    Step.THROTTLE,
    Step.CHECKPOINT,
    Step.EVICT_RECORD,
    Step.STOP,
    Step.RESUME,
    Step.COMPLETE_RECORD,
    Step.CANCEL,
)
"""Steps of a batch job, from its submission to its end."""

CONTROL_STEPS = (
    Step.PUBLISH_APPEND,
    Step.PUBLISH_READ_BACK,
    Step.APPLY,
    Step.SNAPSHOT_WRITE,
    Step.SNAPSHOT_READ,
    Step.JOIN,
    Step.VOUCH,
    Step.SUSPECT,
    Step.TAKE_OVER,
    Step.HAND_OVER,
    Step.DRAIN,
    Step.EXIT,
)
"""Steps of contracts, snapshots, membership and machine ownership."""

ALL_STEPS = URGENT_STEPS + BATCH_STEPS + CONTROL_STEPS
"""Every step, in the order of the matrix's rows."""

_APPEND_STEP_BY_RECORD: dict[type, Step] = {
    _records.IntentRecorded: Step.INTENT_APPEND,
    _records.JobSubmitted: Step.SUBMIT_APPEND,
    _records.JobCancelled: Step.CANCEL,
    _records.TaskClaimed: Step.CLAIM_APPEND,
    _records.TaskEvicted: Step.EVICT_RECORD,
    _records.TaskCompleted: Step.COMPLETE_RECORD,
    _records.ContractPublished: Step.PUBLISH_APPEND,
    _records.SnapshotChunk: Step.SNAPSHOT_WRITE,
    _records.InstanceJoined: Step.JOIN,
    _records.Suspected: Step.SUSPECT,
    _records.TakenOver: Step.TAKE_OVER,
    _records.MachineAssigned: Step.HAND_OVER,
    _records.InstanceLeaving: Step.DRAIN,
    _records.InstanceLeft: Step.EXIT,
}
_READ_STEP_BY_RECORD: dict[type, Step] = {
    _records.IntentRecorded: Step.INTENT_READ_BACK,
    _records.JobSubmitted: Step.SUBMIT_READ_BACK,
    _records.TaskClaimed: Step.CLAIM_READ_BACK,
    _records.ContractPublished: Step.PUBLISH_READ_BACK,
    _records.SnapshotChunk: Step.SNAPSHOT_READ,
}
_STEP_BY_CALL: dict[type, Step] = {
    _batch_events.StartTask: Step.START,
    _batch_events.RenewLeases: Step.RENEW,
    _batch_events.ThrottleTask: Step.THROTTLE,
    _batch_events.CheckpointTask: Step.CHECKPOINT,
    _batch_events.StopTask: Step.STOP,
}


def steps_of_append(records: tuple[_records.Record, ...]) -> set[Step]:
    """Returns the steps that an append of records belongs to."""
    step_by_record = _APPEND_STEP_BY_RECORD
    return {
        step_by_record[type(each)]
        for each in records
        if type(each) in step_by_record
    }


def steps_of_read(
    records: tuple[_records.Record, ...], *, is_author: bool
) -> set[Step]:
    """Returns the steps that a read of records belongs to.

    Args:
        records: Records that were read.
        is_author: Whether the reading instance wrote them. Only the author
            reads back; other instances apply a published contract.
    """
    step_by_record = _READ_STEP_BY_RECORD
    steps = {
        step_by_record[type(each)]
        for each in records
        if type(each) in step_by_record
    }
    if not is_author and Step.PUBLISH_READ_BACK in steps:
        steps.remove(Step.PUBLISH_READ_BACK)
        steps.add(Step.APPLY)
    if not is_author:
        steps -= {
            Step.INTENT_READ_BACK,
            Step.SUBMIT_READ_BACK,
            Step.CLAIM_READ_BACK,
        }
    return steps


def steps_of_worker_call(request: _batch_events.WorkerRequest) -> set[Step]:
    """Returns the steps that a call to a worker belongs to."""
    step = _STEP_BY_CALL.get(type(request))
    if step is None:
        return set()
    if isinstance(request, _batch_events.StartTask) and request.checkpoint:
        return {Step.START, Step.RESUME}
    if step is Step.RENEW:
        return {Step.RENEW, Step.USAGE_REPORT}
    return {step}


def steps_of_peer_message(message: _messages.PeerMessage) -> set[Step]:
    """Returns the steps that sending a message to a peer belongs to."""
    match message:
        case _messages.ForwardRequest():
            return {Step.FORWARD}
        case _messages.ForwardReply():
            return {Step.RETURN}
        case _messages.Heartbeat() | _messages.Voucher():
            return {Step.VOUCH}
    return set()
