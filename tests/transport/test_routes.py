"""Tests of routing, authentication and errors."""

import pytest

from basiljunction.transport import _routes
import border


class TestAuthentication:
    """Each route asks for the credential that it needs."""

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
        here = border.Border()
        path = route.rule.replace("<path:subject>", "kowhai.week-1")
        path = path.replace("<customer>", "kowhai").replace("<job_id>", "j")
        path = path.replace("<class_name>", "check")
        for header in ("", "Bearer", "Bearer wrong", "Basic b3BlcmF0b3I="):
            answer = here.client.open(
                path, method=route.method, headers={"Authorization": header}
            )
            assert answer.status_code == 401
            assert answer.json is not None
            assert answer.json["outcome"] == "not-run"
        assert not here.backend.requests

    def test_callers_are_no_operators(self) -> None:
        here = border.Border()
        put = here.client.put("/v1/contracts/kowhai", headers=border.CALLER)
        metrics = here.client.get("/metrics", headers=border.CALLER)
        assert (put.status_code, metrics.status_code) == (403, 403)

    def test_operators_run_no_customer_work(self) -> None:
        here = border.Border()
        path = "/v1/services/check?customer=kowhai"
        answer = here.client.post(path, headers=border.OPERATOR)
        assert answer.status_code == 403
        assert not here.backend.requests

    def test_credential_of_an_amended_contract_ends(self) -> None:
        here = border.Border()
        here.refresh(contract_by_customer={})
        answer = here.client.get("/v1/status", headers=border.CALLER)
        assert answer.status_code == 401


class TestErrors:
    """Whatever comes, the answer is a problem and the server goes on."""

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
        here = border.Border()
        answer = here.client.open(path, method=method, headers=border.OPERATOR)
        assert answer.status_code == status
        assert answer.mimetype == "application/problem+json"

    def test_fault_of_the_server_is_an_unknown_outcome(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        here = border.Border()
        monkeypatch.setattr(here.backend, "run_request", None)
        answer = here.client.post("/v1/services/check", headers=border.CALLER)
        assert answer.status_code == 500
        assert answer.json is not None
        assert answer.json["outcome"] == "unknown"


class TestHealth:
    """An instance is ready only with its configuration and while it stays."""

    def test_ready_states(self) -> None:
        here = border.Border()
        assert here.client.get("/readyz").status_code == 200
        here.refresh(leaving=True)
        answer = here.client.get("/readyz")
        assert answer.status_code == 503
        assert answer.headers["Connection"] == "close"
        here.refresh(ready=False)
        assert here.client.get("/readyz").status_code == 503
        assert here.client.get("/healthz").status_code == 200
