"""Hypothesis strategies of JSON values and altered documents."""

import copy
import json
from typing import Any

from hypothesis import strategies as st

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
"""Any small JSON value, including the infinity and NaN of JSON5."""


def _list_locations(value: Any) -> list[tuple[Any, Any]]:
    """Returns each nested container, paired with each of its keys."""
    if isinstance(value, dict):
        keys: list[Any] = list(value)
    elif isinstance(value, list):
        keys = list(range(len(value)))
    else:
        return []
    nested = [
        location for key in keys for location in _list_locations(value[key])
    ]
    return [(value, key) for key in keys] + nested


@st.composite
def changed_documents(draw: st.DrawFn, body: dict[str, Any]) -> dict[str, Any]:
    """Returns a copy of a document with one to three random changes."""
    result = copy.deepcopy(body)
    for _ in range(draw(st.integers(1, 3))):
        locations = _list_locations(result)
        if not locations:
            break
        container, key = draw(st.sampled_from(locations))
        match draw(st.sampled_from(["replace", "copy", "delete", "add"])):
            case "replace":
                container[key] = draw(JSON_VALUES)
            case "copy":
                other, other_key = draw(st.sampled_from(locations))
                container[key] = copy.deepcopy(other[other_key])
            case "delete":
                del container[key]
            case "add" if isinstance(container, dict):
                container[draw(st.text(max_size=8))] = draw(JSON_VALUES)
    return result


def changed_document_texts(body: dict[str, Any]) -> st.SearchStrategy[str]:
    """Returns the JSON text of a changed document, possibly truncated."""
    texts = changed_documents(body).map(json.dumps)
    truncated = st.tuples(texts, st.floats(0, 1)).map(
        lambda pair: pair[0][: int(len(pair[0]) * pair[1])]
    )
    return texts | truncated
