"""Cap'n Proto codec of calls between instances of the job scheduler."""

import pathlib
from typing import Any

import capnp

from basiljunction.protocol import _errors
from basiljunction.state.workload import _client_calls
from basiljunction.state.workload import _progress

MEDIA_TYPE = "application/x-capnp"
"""Media type of calls and replies between instances."""

_SCHEMA_PATH = pathlib.Path(__file__).with_name("peer_calls.capnp")
"""Schema file, which is loaded at import."""

capnp.remove_import_hook()
_peer_call_schema: Any = capnp.load(str(_SCHEMA_PATH))
"""The loaded schema; each struct is an attribute."""


def encode_call(call: _client_calls.ClientCall) -> bytes:
    """Encodes a client's call for another instance."""
    message = _peer_call_schema.PeerCall.new_message(
        kind=call.kind.value,
        queue=call.queue,
        jobId=call.job_id,
        job=call.encoded_job,
        configurationVersion=call.configuration_version,
        epoch=call.epoch,
    )
    encoded: bytes = message.to_bytes_packed()
    return encoded


def decode_call(data: bytes) -> _client_calls.ClientCall:
    """Decodes a client's call from another instance.

    Raises:
        DecodeError: The bytes are not a call.
    """
    try:
        message = _peer_call_schema.PeerCall.from_bytes_packed(data)
        return _client_calls.ClientCall(
            kind=_client_calls.CallKind(message.kind),
            queue=message.queue,
            job_id=message.jobId,
            encoded_job=bytes(message.job),
            configuration_version=message.configurationVersion,
            epoch=message.epoch,
        )
    except (capnp.KjException, ValueError) as error:
        raise _errors.DecodeError("peer call", str(error)) from error


def encode_reply(
    reply: _client_calls.ClientReply, leader_address: str, leader_epoch: int
) -> bytes:
    """Encodes the reply to a call.

    Args:
        reply: The reply.
        leader_address: Peer address of the newest known leader; empty if
            unknown.
        leader_epoch: Epoch of that leader's term.
    """
    message = _peer_call_schema.PeerReply.new_message(
        outcome=reply.outcome.value,
        state=reply.job_state.value if reply.job_state else "",
        waiting=reply.waiting_job_count,
        leaderAddress=leader_address,
        leaderEpoch=leader_epoch,
        termStage=reply.term_stage,
        lacksStore=reply.lacks_store,
    )
    encoded: bytes = message.to_bytes_packed()
    return encoded


def decode_reply(data: bytes) -> _client_calls.ClientReply:
    """Decodes the reply to a call.

    Raises:
        DecodeError: The bytes are not a reply.
    """
    try:
        message = _peer_call_schema.PeerReply.from_bytes_packed(data)
        state = _progress.JobState(message.state) if message.state else None
        return _client_calls.ClientReply(
            outcome=_client_calls.CallOutcome(message.outcome),
            job_state=state,
            waiting_job_count=message.waiting,
            leader_address=message.leaderAddress,
            leader_epoch=message.leaderEpoch,
            term_stage=message.termStage,
            lacks_store=message.lacksStore,
        )
    except (capnp.KjException, ValueError) as error:
        raise _errors.DecodeError("peer reply", str(error)) from error
