"""Tests of the codec of calls between instances of different builds."""

import pathlib
from typing import Any

import capnp
import pytest

from basiljunction.protocol import _peer_calls
from basiljunction.state.workload import _client_calls

_EARLIER_SCHEMA = """\
@0xb6d6f1c39a0e4f15;

struct PeerReply {
  outcome @0 :Text;
  state @1 :Text;
  waiting @2 :Int64;
  leaderAddress @3 :Text;
  leaderEpoch @4 :Int64;
}
"""
"""Schema of the builds that do not know `termStage`."""


@pytest.fixture(scope="module")
def schema(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """The schema of an earlier build; capnp loads an id only once."""
    path: pathlib.Path = tmp_path_factory.mktemp("schema") / "earlier.capnp"
    path.write_text(_EARLIER_SCHEMA)
    return capnp.load(str(path))


class TestReply:
    """Builds with and without the stage of the term read each other."""

    def test_an_earlier_build_reads_a_reply_that_names_the_stage(
        self, schema: Any
    ) -> None:
        reply = _client_calls.ClientReply(
            _client_calls.CallOutcome.NOT_LEADER, term_stage="reading"
        )
        encoded = _peer_calls.encode_reply(reply, "10.0.0.2:1", 7)
        message = schema.PeerReply.from_bytes_packed(encoded)
        assert message.outcome == "not-leader"
        assert (message.leaderAddress, message.leaderEpoch) == ("10.0.0.2:1", 7)

    def test_a_reply_of_an_earlier_build_names_no_stage(
        self, schema: Any
    ) -> None:
        message = schema.PeerReply.new_message(
            outcome="not-leader", leaderAddress="10.0.0.2:1", leaderEpoch=7
        )
        reply = _peer_calls.decode_reply(message.to_bytes_packed())
        assert reply.outcome is _client_calls.CallOutcome.NOT_LEADER
        assert (reply.leader_epoch, reply.term_stage) == (7, "")
