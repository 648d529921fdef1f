"""Tests of the contract commands."""

import json
import pathlib
from typing import Any

import pytest

from basiljunction.cli import _exit_codes
from basiljunction.cli import _publish
from basiljunction.protocol import _contract_document
from basiljunction.transport import _http_client
import border
import served as served_api

_Code = _exit_codes.ExitCode


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    """Writes the contract with another weight."""
    path = tmp_path / "contract.json5"
    text = json.dumps(border.contract_body(weight=2.0))
    path.write_text(f"// amended\n{text}", encoding="utf-8")
    return path


class TestCheck:
    """A file is checked without any instance."""

    def test_prints_the_place_and_every_limit(
        self,
        served: served_api.Served,
        tmp_path: pathlib.Path,
        file: pathlib.Path,
    ) -> None:
        good = served.run("contract", "check", str(file), "--limits")
        assert good.exit_code == _Code.OK
        assert "requests.rate_per_s" in good.output
        broken = tmp_path / "broken.json5"
        broken.write_text('{\n"customer": "a",\n"colour": 1}', encoding="utf-8")
        result = served.run("contract", "check", str(broken))
        assert result.exit_code == _Code.INVALID
        assert f"{broken}:3: colour" in result.output


class TestAmend:
    """The command says whether the amendment is accepted once or not."""

    def test_accepted_and_waited_for(
        self, served: served_api.Served, file: pathlib.Path
    ) -> None:
        served.here.follow()
        result = served.run(
            "contract", "amend", str(file), "--base", "1", "--wait"
        )
        assert result.exit_code == _Code.OK, result.output
        assert "accepted once: kowhai version 2" in result.output
        assert "dunedin-1: " in result.output

    def test_wait_names_an_instance_that_lags(
        self, served: served_api.Served, file: pathlib.Path
    ) -> None:
        arguments = ["--base", "1", "--wait", "--timeout-s", "0.2"]
        result = served.run("contract", "amend", str(file), *arguments)
        assert result.exit_code == _Code.FAILED
        assert "dunedin-1: not seen in 0.2 s" in result.output

    def test_loser_of_a_race(
        self, served: served_api.Served, file: pathlib.Path
    ) -> None:
        served.run("contract", "amend", str(file), "--base", "1")
        result = served.run("contract", "amend", str(file), "--base", "1")
        assert result.exit_code == _Code.CONFLICT
        assert "version 2 is in force" in result.output

    def test_lost_answer_is_settled_by_repeating(
        self, served: served_api.Served, file: pathlib.Path
    ) -> None:
        backend = served.here.backend
        backend.lose_answers = True
        backend.on_append = lambda: setattr(backend, "lose_answers", True)
        result = served.run("contract", "amend", str(file), "--base", "1")
        assert result.exit_code == _Code.OK
        assert "accepted once by an earlier try" in result.output
        contracts = backend.log.state.contract_by_customer
        assert contracts["kowhai"].contract.version == 2

    def test_nothing_sent_is_refused(
        self, served: served_api.Served, file: pathlib.Path
    ) -> None:
        served.here.backend.drop_appends = True
        arguments = ["--base", "1", "--timeout-s", "0.1"]
        result = served.run("contract", "amend", str(file), *arguments)
        assert result.exit_code == _Code.REFUSED

    def test_credential_is_not_an_operators(
        self, served: served_api.Served, file: pathlib.Path
    ) -> None:
        result = served.run(
            "contract",
            "amend",
            str(file),
            "--base",
            "1",
            token=border.CALLER_TOKEN,
        )
        assert result.exit_code == _Code.UNAUTHORIZED


class _Scripted(_http_client.ApiClient):
    """Answers each try with the next of its answers."""

    def __init__(self, *answers: _http_client.ApiAnswer | Exception) -> None:
        super().__init__([])
        self._answers = list(answers)

    def send_request(
        self, call: _http_client.ApiRequest
    ) -> _http_client.ApiAnswer:
        """Returns or raises the next answer; the last one for ever."""
        answer = self._answers[0]
        if len(self._answers) > 1:
            del self._answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer


def _refusal(status: int, **changes: Any) -> _http_client.ApiAnswer:
    body = {
        "type": "urn:x",
        "title": "",
        "status": status,
        "detail": "",
        "outcome": "not-run",
        "step": "accept",
        "peer": "a",
        "reason": "x",
        "request_id": "r",
        **changes,
    }
    headers = {"content-type": "application/problem+json"}
    return _http_client.ApiAnswer(
        "a", status, headers, json.dumps(body).encode()
    )


_LOST = _http_client.UnansweredError({"a": "lost"})
_DOWN = _http_client.UnreachableError({"a": "refused"})


class TestFate:
    """What is said of a publication holds for all of its tries."""

    @pytest.mark.parametrize(
        ("answers", "expected"),
        [
            ((_DOWN,), _publish.Undecided(False, "not reached: a: refused")),
            (
                (_LOST, _DOWN),
                _publish.Undecided(True, "not reached: a: refused"),
            ),
            ((_LOST, _refusal(401)), _publish.Undecided(True, "")),
            (
                (_LOST, _refusal(503, retry_after_s=0.1)),
                _publish.Undecided(True, ""),
            ),
        ],
    )
    def test_undecided(
        self,
        answers: tuple[_http_client.ApiAnswer | Exception, ...],
        expected: _publish.PublishResult,
    ) -> None:
        assert self._publish(*answers) == expected

    def test_conflict_settles_a_lost_answer(self) -> None:
        fate = self._publish(_LOST, _refusal(409, current_version=2))
        assert isinstance(fate, _publish.Refused)

    def _publish(
        self, *answers: _http_client.ApiAnswer | Exception
    ) -> _publish.PublishResult:
        document = _contract_document.ContractDocument.model_validate_json(
            json.dumps(border.contract_body())
        )
        publication = _publish.Publication(document, 1, "p")
        return _publish.publish_with_retries(
            _Scripted(*answers), publication, timeout_s=0.5
        )


class TestShow:
    """A shown contract can be published again; history tells the changes."""

    def test_show_history_and_diff(
        self, served: served_api.Served, file: pathlib.Path
    ) -> None:
        shown = served.run("contract", "show", "kowhai")
        assert json.loads(shown.output.split("\n", 1)[1]) == (
            border.contract_body()
        )
        diff = served.run("contract", "diff", str(file))
        assert "weight: 1.0 -> 2.0" in diff.output
        served.run("contract", "amend", str(file), "--base", "1")
        history = served.run("contract", "history", "kowhai")
        assert "version 2\n  weight: 1.0 -> 2.0" in history.output
