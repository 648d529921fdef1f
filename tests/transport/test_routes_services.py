"""Tests of the routes for latency-critical requests."""

import pytest

from basiljunction.state import _outcomes
import border

_Reason = _outcomes.Reason


class TestServe:
    """Each outcome maps to an HTTP status, headers and body."""

    def test_completed_passes_status_and_body_on(self) -> None:
        rig = border.Border()
        rig.backend.outcome = _outcomes.Completed(
            418, b"\x00pot", "image/png", "executor-1"
        )
        answer = rig.client.post(
            "/v1/services/check",
            data=b"diary",
            headers={
                **border.CALLER,
                "X-Deadline-S": "1.5",
                "Idempotency-Key": "key-1",
            },
        )
        assert (answer.status_code, answer.data) == (418, b"\x00pot")
        assert answer.mimetype == "image/png"
        assert answer.headers["Basiljunction-Outcome"] == "completed"
        (request,) = rig.backend.requests
        assert request.request_id == answer.headers["Basiljunction-Request-Id"]
        assert request.request_id.startswith("kowhai.")
        assert (request.customer, request.body) == ("kowhai", b"diary")
        assert (request.deadline_s, request.idempotency_key) == (1.5, "key-1")

    @pytest.mark.parametrize(
        ("reason", "status"),
        [
            (_Reason.RATE_EXCEEDED, 429),
            (_Reason.OVERLOADED, 503),
            (_Reason.DEADLINE_UNREACHABLE, 503),
            (_Reason.DEADLINE_PASSED, 503),
            (_Reason.OUTSIDE_HOURS, 403),
            (_Reason.KEY_IN_USE, 409),
            (_Reason.KEY_REQUIRED, 400),
        ],
    )
    def test_not_run_is_told_with_the_time_to_come_back(
        self, reason: _Reason, status: int
    ) -> None:
        rig = border.Border()
        rig.backend.outcome = _outcomes.NotRun(
            _outcomes.Step.ADMIT, "dunedin-2", reason, 1.2, "why"
        )
        answer = rig.client.post("/v1/services/check", headers=border.CALLER)
        assert answer.status_code == status
        assert answer.headers["Retry-After"] == "2"
        assert answer.json is not None
        known = ("outcome", "step", "peer", "reason", "retry_after_s")
        assert [answer.json[key] for key in known] == [
            "not-run",
            "admit",
            "dunedin-2",
            reason,
            1.2,
        ]

    @pytest.mark.parametrize(
        ("reason", "status"),
        [(_Reason.TIMEOUT, 504), (_Reason.CONNECTION_LOST, 502)],
    )
    def test_unknown_is_never_told_as_not_run(
        self, reason: _Reason, status: int
    ) -> None:
        rig = border.Border()
        rig.backend.outcome = _outcomes.Unknown(
            _outcomes.Step.WAIT, "executor-1", reason
        )
        answer = rig.client.post("/v1/services/check", headers=border.CALLER)
        assert answer.status_code == status
        assert answer.headers["Basiljunction-Outcome"] == "unknown"
        assert "Retry-After" not in answer.headers

    def test_full_mailbox_is_not_run(self) -> None:
        rig = border.Border()
        rig.backend.is_full = True
        answer = rig.client.post("/v1/services/check", headers=border.CALLER)
        assert answer.status_code == 503
        assert answer.headers["Basiljunction-Outcome"] == "not-run"

    @pytest.mark.parametrize(
        ("header", "value"),
        [
            ("X-Deadline-S", "soon"),
            ("X-Deadline-S", "nan"),
            ("X-Deadline-S", "0"),
            ("X-Deadline-S", "1e9"),
            ("Idempotency-Key", "k" * 200),
        ],
    )
    def test_wrong_header_runs_nothing(self, header: str, value: str) -> None:
        rig = border.Border()
        answer = rig.client.post(
            "/v1/services/check", headers={**border.CALLER, header: value}
        )
        assert answer.status_code == 400
        assert not rig.backend.requests

    def test_class_names_of_strangers_make_no_series(self) -> None:
        rig = border.Border()
        for number in range(3):
            rig.client.post(f"/v1/services/x{number}", headers=border.CALLER)
        exposition = rig.metrics.render_prometheus_text().decode()
        assert 'class_name="unknown"' in exposition
        assert 'class_name="x1"' not in exposition
