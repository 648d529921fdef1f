"""Tests of the routes for contracts."""

from typing import Any

import pytest
from werkzeug import test

import border

_PATH = "/v1/contracts/kowhai"


def _publish_contract(
    rig: border.Border, base: int, publish_id: str, **changes: Any
) -> test.TestResponse:
    """Publishes a changed contract on top of a base version."""
    return rig.client.put(
        _PATH,
        json=border.contract_body(**changes),
        headers={
            **border.OPERATOR,
            "If-Match": f'"{base}"',
            "Idempotency-Key": publish_id,
        },
    )


class TestPublish:
    """One of two concurrent publications wins; a repeat changes nothing."""

    def test_amend_names_its_base(self) -> None:
        rig = border.Border()
        answer = _publish_contract(rig, 1, "p-2", weight=2.0)
        assert (answer.status_code, answer.json) == (
            200,
            {
                "customer": "kowhai",
                "version": 2,
                "publish_id": "p-2",
                "repeated": False,
            },
        )

    def test_loser_gets_the_winner_and_a_diff(self) -> None:
        rig = border.Border()
        _publish_contract(rig, 1, "p-2", weight=2.0)
        answer = _publish_contract(rig, 1, "p-3", weight=3.0)
        assert answer.status_code == 409
        assert answer.json is not None
        assert answer.json["current_version"] == 2
        (change,) = answer.json["changes"]
        assert change == {"field": "weight", "before": 2.0, "after": 3.0}

    def test_lost_answer_settles_as_accepted_once(self) -> None:
        rig = border.Border()
        rig.backend.lose_answers = True
        first = _publish_contract(rig, 1, "p-2", weight=2.0)
        assert first.status_code == 504
        assert first.json is not None
        assert first.json["publish_id"] == "p-2"
        rig.backend.lose_answers = False
        _publish_contract(rig, 2, "p-3", weight=3.0)
        again = _publish_contract(rig, 1, "p-2", weight=2.0)
        assert again.status_code == 200
        assert again.json is not None
        assert (again.json["version"], again.json["repeated"]) == (2, True)
        state = rig.backend.log.state
        assert state.contract_by_customer["kowhai"].contract.version == 3

    def test_dropped_append_is_not_run(self) -> None:
        rig = border.Border()
        rig.backend.drop_appends = True
        answer = _publish_contract(rig, 1, "p-2")
        assert answer.status_code == 503
        assert answer.headers["Basiljunction-Outcome"] == "not-run"

    @pytest.mark.parametrize("base", ["", "x", "-1", "1.5", "²", "9" * 12])
    def test_needs_a_base_version(self, base: str) -> None:
        rig = border.Border()
        answer = rig.client.put(
            _PATH,
            query_string={"base_version": base},
            json=border.contract_body(),
            headers=border.OPERATOR,
        )
        assert answer.status_code == 400

    def test_malformed_contract_names_the_field(self) -> None:
        rig = border.Border()
        answer = _publish_contract(rig, 1, "p-2", quota={"millicores": -1})
        assert answer.status_code == 422
        assert answer.json is not None
        fields = {problem["field"] for problem in answer.json["problems"]}
        assert fields == {"quota.millicores", "quota.memory_mib", "quota.tasks"}

    def test_path_and_body_agree(self) -> None:
        rig = border.Border()
        answer = _publish_contract(rig, 1, "p-2", customer="signalwise")
        assert answer.status_code == 400


class TestShow:
    """A customer can read only its own contract."""

    def test_round_trip_with_limits_and_history(self) -> None:
        rig = border.Border()
        _publish_contract(rig, 1, "p-2", weight=2.0)
        answer = rig.client.get(
            f"{_PATH}?include=limits,history", headers=border.CALLER
        )
        assert answer.json is not None
        assert answer.json["document"] == border.contract_body(weight=2.0)
        versions = [each["version"] for each in answer.json["history"]]
        assert versions == [1, 2]
        names = {limit["name"] for limit in answer.json["limits"]}
        assert {"admission rate", "deadline", "hours"} <= names

    def test_other_customers_contract_does_not_exist(self) -> None:
        rig = border.Border()
        answer = rig.client.get(_PATH, headers=border.OTHER)
        assert answer.status_code == 404
