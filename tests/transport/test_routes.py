"""Tests of routing, authentication and errors."""

import pytest

from basiljunction.transport import _routes
import border


class TestAuthentication:
    """Each route accepts only the kind of credential that it requires."""

    @pytest.mark.parametrize(
        "route",
        [
            route
            for route in _routes.ROUTES
            if route.access is not _routes.Access.OPEN
        ],
        ids=lambda route: f"{route.method} {route.rule}",
    )
    def test_without_known_credential_nothing_is_reached(
        self, route: _routes.Route
    ) -> None:
        rig = border.Border()
        path = route.rule.replace("<path:subject>", "kowhai.week-1")
        path = path.replace("<customer>", "kowhai").replace("<job_id>", "j")
        path = path.replace("<class_name>", "check")
        for header in ("", "Bearer", "Bearer wrong", "Basic b3BlcmF0b3I="):
            answer = rig.client.open(
                path, method=route.method, headers={"Authorization": header}
            )
            assert answer.status_code == 401
            assert answer.json is not None
            assert answer.json["outcome"] == "not-run"
        assert not rig.backend.requests

    def test_callers_are_no_operators(self) -> None:
        rig = border.Border()
        put = rig.client.put("/v1/contracts/kowhai", headers=border.CALLER)
        metrics = rig.client.get("/metrics", headers=border.CALLER)
        assert (put.status_code, metrics.status_code) == (403, 403)

    def test_operators_run_no_customer_work(self) -> None:
        rig = border.Border()
        path = "/v1/services/check?customer=kowhai"
        answer = rig.client.post(path, headers=border.OPERATOR)
        assert answer.status_code == 403
        assert not rig.backend.requests

    def test_credential_of_an_amended_contract_ends(self) -> None:
        rig = border.Border()
        rig.refresh(contract_by_customer={})
        answer = rig.client.get("/v1/status", headers=border.CALLER)
        assert answer.status_code == 401


class TestErrors:
    """Unmatched requests and internal errors get a problem document."""

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("GET", "/nowhere", 404),
            ("GET", "//v1//status", 404),
            ("PATCH", "/v1/jobs", 405),
            ("GET", "/v1/contracts/\x00", 404),
        ],
    )
    def test_unmatched(self, method: str, path: str, status: int) -> None:
        rig = border.Border()
        answer = rig.client.open(path, method=method, headers=border.OPERATOR)
        assert answer.status_code == status
        assert answer.mimetype == "application/problem+json"

    def test_fault_of_the_server_is_an_unknown_outcome(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = border.Border()
        monkeypatch.setattr(rig.backend, "run_request", None)
        answer = rig.client.post("/v1/services/check", headers=border.CALLER)
        assert answer.status_code == 500
        assert answer.json is not None
        assert answer.json["outcome"] == "unknown"


class TestHealth:
    """An instance is ready only when it is configured and not leaving."""

    def test_ready_states(self) -> None:
        rig = border.Border()
        assert rig.client.get("/readyz").status_code == 200
        rig.refresh(leaving=True)
        answer = rig.client.get("/readyz")
        assert answer.status_code == 503
        assert answer.headers["Connection"] == "close"
        rig.refresh(ready=False)
        assert rig.client.get("/readyz").status_code == 503
        assert rig.client.get("/healthz").status_code == 200
