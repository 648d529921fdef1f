"""Tests of the reader of JSON with comments."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from basiljunction.protocol import _contract_document
from basiljunction.protocol import _job_document
from basiljunction.protocol import _jsonc
from basiljunction.protocol import _settings
import border
import strategies

_MODELS = (
    _settings.Settings,
    _contract_document.ContractDocument,
    _job_document.JobDocument,
)


_FUZZ = settings(max_examples=100, deadline=None, derandomize=True)


def _problems(kind: type, text: str) -> tuple[_jsonc.DocumentProblem, ...]:
    try:
        _jsonc.load_jsonc_model(kind, text, source="x")
    except _jsonc.DocumentError as error:
        return error.problems
    return ()


class TestLines:
    """Each value keeps the line on which it stands."""

    def test_nested_values(self) -> None:
        document = _jsonc.parse_document('{\n"a": [1,\n {"b": 2}]}', source="x")
        assert document.value == {"a": [1, {"b": 2}]}
        assert document.find_line(("a", 1, "b")) == 3
        assert document.find_line(("a", 7, "missing")) == 2


class TestFuzz:
    """Whatever the text, it loads or is a DocumentError with its places."""

    @pytest.mark.parametrize("kind", _MODELS)
    @_FUZZ
    @given(text=st.text(max_size=40))
    def test_any_text(self, kind: type, text: str) -> None:
        with pytest.raises(_jsonc.DocumentError):
            _jsonc.load_jsonc_model(kind, text, source="x")

    @_FUZZ
    @given(
        text=strategies.mutated_text(border.contract_body())
        | strategies.mutated_text(border.ordered_job_body())
    )
    def test_changed_documents(self, text: str) -> None:
        for kind in _MODELS:
            assert all(problem.allowed for problem in _problems(kind, text))
