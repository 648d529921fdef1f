"""Fuzz tests of the HTTP API.

No input causes an internal error, and none is accepted in part.
"""

import copy
import json
from typing import Any

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from werkzeug import test

import border
import strategies

# derandomize=True derives the random seed from the source of each test
# function: rewording its body, names included, changes the examples.
_FUZZ = settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)

_METHODS = st.sampled_from(["GET", "PUT", "POST", "DELETE", "PATCH", "HEAD"])
_SEGMENTS = st.sampled_from(
    ["v1", "jobs", "services", "contracts", "explain", "status", "kowhai", ""]
) | st.text(max_size=6)
_HEADER_TEXT = st.text(
    st.characters(min_codepoint=32, max_codepoint=255), max_size=20
)


def _check(answer: test.TestResponse) -> None:
    """Checks that an answer is a success or a complete problem document."""
    assert answer.status_code != 500, answer.data
    if answer.status_code < 400 or not answer.data:
        return
    assert answer.mimetype == "application/problem+json"
    problem = answer.json
    assert problem is not None
    assert problem["outcome"] in ("not-run", "unknown")
    assert problem["step"]
    assert problem["reason"]


class TestBorder:
    """Any input gets a valid answer; a refused one changes no state."""

    @_FUZZ
    @given(
        method=_METHODS,
        segments=st.lists(_SEGMENTS, max_size=5),
        headers=st.dictionaries(
            st.sampled_from(
                ["If-Match", "Idempotency-Key", "X-Deadline-S", "Accept"]
            ),
            _HEADER_TEXT,
        ),
        token=st.sampled_from([border.OPERATOR, border.CALLER, {}]),
        body=st.binary(max_size=50),
    )
    def test_any_request(
        self,
        method: str,
        segments: list[str],
        headers: dict[str, str],
        token: dict[str, str],
        body: bytes,
    ) -> None:
        here = border.Border()
        path = "/" + "/".join(segments)
        answer = here.client.open(
            path=path, method=method, headers={**headers, **token}, data=body
        )
        _check(answer)

    @_FUZZ
    @given(
        body=strategies.changed_document_texts(border.contract_body()),
        base=st.sampled_from(["1", "0", "2", '"1"']),
    )
    def test_any_contract(self, body: str, base: str) -> None:
        here = border.Border()
        state = here.backend.log.state
        before = copy.deepcopy(state.contract_by_customer)
        answer = here.client.put(
            "/v1/contracts/kowhai",
            data=body,
            headers={**border.OPERATOR, "If-Match": base},
        )
        _check(answer)
        if answer.status_code != 200:
            assert state.contract_by_customer == before
            return
        shown = here.client.get("/v1/contracts/kowhai", headers=border.OPERATOR)
        _check(shown)
        assert state.contract_by_customer["kowhai"].contract.version == 2

    @_FUZZ
    @given(body=strategies.changed_document_texts(border.ordered_job_body()))
    def test_any_job(self, body: str) -> None:
        here = border.Border()
        answer = here.client.post("/v1/jobs", data=body, headers=border.CALLER)
        _check(answer)
        jobs = here.backend.log.state.job_by_id
        assert len(jobs) == (answer.status_code == 201)
        if jobs:
            self._check_shown(here, answer.json)

    def _check_shown(self, here: border.Border, body: Any) -> None:
        """Checks that the job named in an answer can be fetched."""
        path = f"/v1/jobs/{body['job_id']}"
        shown = here.client.get(path, headers=border.CALLER)
        assert shown.status_code == 200
        assert json.loads(shown.data)["job_id"] == body["job_id"]
