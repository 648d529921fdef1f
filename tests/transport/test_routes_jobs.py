"""Tests of the routes for jobs."""

from typing import Any

import pytest
from werkzeug import test

import border

_EXCESSIVE_DEMAND = {"millicores": 10_000_000, "memory_mib": 512}


def _submit_job(rig: border.Border, **changes: Any) -> test.TestResponse:
    """Submits a job as the customer "kowhai"."""
    return rig.client.post(
        "/v1/jobs", json=border.job_body(**changes), headers=border.CALLER
    )


def _make_tasks(*names: str, **changes: Any) -> list[dict[str, Any]]:
    """Returns one task body for each name, with fields overridden."""
    (task,) = border.job_body()["tasks"]
    return [{**task, "name": name, **changes} for name in names]


class TestSubmit:
    """A job is accepted once, or refused whole naming the field at fault."""

    def test_repeat_is_accepted_once(self) -> None:
        rig = border.Border()
        first, again = _submit_job(rig), _submit_job(rig)
        assert (first.status_code, again.status_code) == (201, 200)
        assert again.json == {"job_id": "kowhai.week-1", "repeated": True}
        assert len(rig.backend.log.state.job_by_id) == 1

    def test_lost_answer_settles_by_repeating(self) -> None:
        rig = border.Border()
        rig.backend.lose_answers = True
        assert _submit_job(rig).status_code == 504
        rig.backend.lose_answers = False
        assert _submit_job(rig).status_code == 200

    def test_another_job_of_that_name_is_a_conflict(self) -> None:
        rig = border.Border()
        _submit_job(rig)
        assert _submit_job(rig, tasks=_make_tasks("night")).status_code == 409

    def test_customers_cannot_take_each_others_names(self) -> None:
        rig = border.Border()
        _submit_job(rig)
        other = rig.client.post(
            "/v1/jobs", json=border.job_body(), headers=border.OTHER
        )
        assert other.json == {"job_id": "signalwise.week-1", "repeated": False}

    @pytest.mark.parametrize(
        ("changes", "status", "place"),
        [
            ({"tasks": _make_tasks("a", after=["b"])}, 422, "tasks.0.after"),
            ({"tasks": _make_tasks("a", "a")}, 422, "tasks"),
            ({"tasks": _make_tasks("a", after=["a"])}, 422, "tasks"),
            (
                {"tasks": _make_tasks("a", demand=_EXCESSIVE_DEMAND)},
                422,
                "task a",
            ),
            ({"tasks": []}, 422, "tasks"),
            ({"class_name": "check"}, 404, "class_name"),
            ({"colour": "red"}, 422, "colour"),
        ],
    )
    def test_refusal_names_the_place(
        self, changes: dict[str, Any], status: int, place: str
    ) -> None:
        rig = border.Border()
        answer = _submit_job(rig, **changes)
        assert answer.status_code == status
        assert answer.json is not None
        assert place in answer.json["detail"]
        assert not rig.backend.log.state.job_by_id


class TestReach:
    """A customer can read and cancel only its own jobs."""

    def test_other_customers_job_does_not_exist(self) -> None:
        rig = border.Border()
        _submit_job(rig)
        path = "/v1/jobs/kowhai.week-1"
        for method in ("GET", "DELETE"):
            answer = rig.client.open(path, method=method, headers=border.OTHER)
            assert answer.status_code == 404
        listed = rig.client.get("/v1/jobs", headers=border.OTHER)
        assert listed.json == {"jobs": [], "truncated": False}
        asked = rig.client.get("/v1/jobs?customer=kowhai", headers=border.OTHER)
        assert asked.status_code == 404
        explained = rig.client.get(
            "/v1/explain/kowhai.week-1/day", headers=border.OTHER
        )
        assert explained.status_code == 404

    def test_cancel_twice_ends_it_once(self) -> None:
        rig = border.Border()
        _submit_job(rig)
        path = "/v1/jobs/kowhai.week-1"
        for _ in range(2):
            answer = rig.client.delete(path, headers=border.CALLER)
            assert answer.json is not None
            assert answer.json["cancelled"]
            assert answer.json["tasks"][0]["reason"] == "cancelled"
