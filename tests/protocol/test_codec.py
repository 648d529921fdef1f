"""Tests of the codec of log batches and peer messages."""

import pytest

from basiljunction.coordination import _messages
from basiljunction.protocol import _codec
from basiljunction.protocol import _errors
from basiljunction.state import _outcomes
from basiljunction.state import _records
import builders


class TestBatch:
    """A batch survives a round trip; malformed bytes raise DecodeError."""

    def test_round_trip(self) -> None:
        batch = _records.RecordBatch(
            author=_records.Author("dunedin-1", 7),
            first_sequence=3,
            wall_s=12.5,
            records=(
                builders.contract_published(),
                _records.JobSubmitted(builders.job("job-1")),
                _records.SnapshotChunk("s", 0, 5, b"\x00\xff"),
            ),
        )
        assert _codec.decode_batch(_codec.encode_batch(batch)) == batch

    def test_bytes_that_are_no_batch(self) -> None:
        with pytest.raises(_errors.DecodeError, match="log entry"):
            _codec.decode_batch(b"\xff\x01nonsense")


class TestMessage:
    """A peer message survives a round trip; empty bytes raise DecodeError."""

    @pytest.mark.parametrize(
        "outcome",
        [
            _outcomes.Completed(200, b"whole", "text/plain", "executor-1"),
            _outcomes.NotRun(
                _outcomes.Step.ADMIT,
                "dunedin-1",
                _outcomes.Reason.RATE_EXCEEDED,
                1.5,
            ),
            _outcomes.NotRun(
                _outcomes.Step.CONNECT, "e", _outcomes.Reason.CONNECT_FAILED
            ),
            _outcomes.Unknown(
                _outcomes.Step.WAIT, "e", _outcomes.Reason.TIMEOUT, "late"
            ),
        ],
    )
    def test_round_trip(self, outcome: _outcomes.Outcome) -> None:
        message = _messages.ForwardReply("r-1", "dunedin-2", outcome)
        wire = _codec.encode_message(message)
        assert _codec.decode_message(wire) == message

    def test_empty_bytes(self) -> None:
        with pytest.raises(_errors.DecodeError, match="peer message"):
            _codec.decode_message(b"")
