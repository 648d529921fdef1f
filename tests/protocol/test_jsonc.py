"""Tests of the parser of JSON with comments."""

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


_FUZZ_SETTINGS = settings(max_examples=100, deadline=None, derandomize=True)


def _problems(kind: type, text: str) -> tuple[_jsonc.DocumentProblem, ...]:
    """Returns the problems found in `text`; none if it loads."""
    try:
        _jsonc.load_jsonc_model(kind, text, source="x")
    except _jsonc.DocumentError as error:
        return error.problems
    return ()


class TestLines:
    """The parser records the line number of each value."""

    def test_nested_values(self) -> None:
        document = _jsonc.parse_document('{\n"a": [1,\n {"b": 2}]}', source="x")
        assert document.value == {"a": [1, {"b": 2}]}
        assert document.find_line(("a", 1, "b")) == 3
        assert document.find_line(("a", 7, "missing")) == 2


class TestFuzz:
    """Any text either loads or raises a DocumentError with its problems."""

    @pytest.mark.parametrize("kind", _MODELS)
    @_FUZZ_SETTINGS
    @given(text=st.text(max_size=40))
    def test_any_text(self, kind: type, text: str) -> None:
        with pytest.raises(_jsonc.DocumentError):
            _jsonc.load_jsonc_model(kind, text, source="x")

    @_FUZZ_SETTINGS
    @given(
        text=strategies.changed_document_texts(border.contract_body())
        | strategies.changed_document_texts(border.ordered_job_body())
    )
    def test_changed_documents(self, text: str) -> None:
        for kind in _MODELS:
            assert all(problem.allowed for problem in _problems(kind, text))
