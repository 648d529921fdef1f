"""Tests of the stand-in for the log service."""

import base64
from typing import Any

import pytest

from basiljunction.standin import _log
from standin import requests


def _decode_payloads(answer: dict[str, Any]) -> list[bytes]:
    """Returns the payloads of the entries in a read answer."""
    return [base64.b64decode(each["data"]) for each in answer["entries"]]


class TestAppend:
    """An append gets the next offset; one above the rate is refused."""

    def test_offsets_are_consecutive_and_entries_read_back(self) -> None:
        log = _log.LogStandIn()
        offsets = [
            requests.call_stand_in(log, "/append", data=each)[1]["offset"]
            for each in (b"a", b"b")
        ]
        _, read = requests.call_stand_in(log, "/read", query={"from": "0"})
        assert offsets == [0, 1]
        assert _decode_payloads(read) == [b"a", b"b"]

    def test_above_the_rate_is_refused_without_effect(self) -> None:
        log = _log.LogStandIn(appends_per_s=1)
        requests.call_stand_in(log, "/append", data=b"a")
        status, _ = requests.call_stand_in(log, "/append", data=b"b")
        _, read = requests.call_stand_in(log, "/read", query={"from": "0"})
        assert status == 429
        assert read["head"] == 1


class TestRetention:
    """A read of a dropped entry returns the bounds of the kept entries."""

    def test_read_before_the_first_kept_entry(self) -> None:
        log = _log.LogStandIn(retention_entries=1)
        for each in (b"a", b"b"):
            requests.call_stand_in(log, "/append", data=each)
        status, bounds = requests.call_stand_in(
            log, "/read", query={"from": "0"}
        )
        assert (status, bounds) == (410, {"first": 1, "head": 2})


class TestFaults:
    """An append has no effect in an outage; it has if the answer is lost."""

    def test_down(self) -> None:
        log = _log.LogStandIn()
        log.faults.switch_on("down", for_s=60)
        status, _ = requests.call_stand_in(log, "/append", data=b"a")
        log.faults.switch_on("down", for_s=0)
        _, read = requests.call_stand_in(log, "/read", query={"from": "0"})
        assert (status, read["head"]) == (503, 0)

    def test_lost_answer_takes_effect(self) -> None:
        log = _log.LogStandIn()
        log.faults.switch_on("lose_answers", for_s=60)
        with pytest.raises(ConnectionResetError):
            requests.call_stand_in(log, "/append", data=b"a")
        _, read = requests.call_stand_in(log, "/read", query={"from": "0"})
        assert _decode_payloads(read) == [b"a"]
